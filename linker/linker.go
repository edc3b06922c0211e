package linker

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// keptBufferBytes is the largest buffer that an idle link holds on to.
	keptBufferBytes = 64 << 10
	// firstRedial and lastRedial bound the doubling delay between attempts to connect.
	firstRedial = 50 * time.Millisecond
	lastRedial  = 3 * time.Second
	// passiveDelay is how long the instance with the greater name waits for the other to connect, so that a
	// pair that learns of each other at the same time usually ends with one link.
	passiveDelay = 500 * time.Millisecond
)

// Limits are the bounds of links.
type Limits struct {
	// QueueMessages and QueueBytes bound the queue of one link.
	QueueMessages int
	QueueBytes    int
	// PingInterval is how long a link may be silent before it is pinged.
	PingInterval time.Duration
	// IOTimeout is how long the answer to a ping, the handshake or a write may take.
	IOTimeout time.Duration
	// IdleTimeout is how long a link to another failure domain may be unused; members' links stay.
	IdleTimeout time.Duration
	// MaxRemoteLinks bounds the links to other failure domains.
	MaxRemoteLinks int
}

// DefaultLimits returns the limits that instances use.
func DefaultLimits() Limits {
	return Limits{
		QueueMessages:  4096,
		QueueBytes:     2 * MaxMessageBytes,
		PingInterval:   time.Second,
		IOTimeout:      2 * time.Second,
		IdleTimeout:    30 * time.Second,
		MaxRemoteLinks: 64,
	}
}

// Peer is another instance of the own failure domain.
type Peer struct {
	Name string
	// Incarnation may be empty, as long as only the address is known.
	Incarnation string
	Address     string
}

// Traffic counts what a linker sent and received.
type Traffic struct {
	framesSent    atomic.Int64
	messagesSent  atomic.Int64
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	pingsSent     atomic.Int64
	dropped       atomic.Int64
	strayAnswers  atomic.Int64
}

// FramesSent returns the number of frames sent.
func (traffic *Traffic) FramesSent() int64 { return traffic.framesSent.Load() }

// MessagesSent returns the number of messages accepted for sending.
func (traffic *Traffic) MessagesSent() int64 { return traffic.messagesSent.Load() }

// BytesSent returns the bytes of frames sent, without WebSocket headers.
func (traffic *Traffic) BytesSent() int64 { return traffic.bytesSent.Load() }

// BytesReceived returns the bytes of frames received, without WebSocket headers.
func (traffic *Traffic) BytesReceived() int64 { return traffic.bytesReceived.Load() }

// PingsSent returns the number of pings sent.
func (traffic *Traffic) PingsSent() int64 { return traffic.pingsSent.Load() }

// Dropped returns the number of messages refused by a full queue.
func (traffic *Traffic) Dropped() int64 { return traffic.dropped.Load() }

// StrayAnswers returns the number of responses that no request waited for.
func (traffic *Traffic) StrayAnswers() int64 { return traffic.strayAnswers.Load() }

// Linker keeps links to the members of the own failure domain and opens links to others on demand.
type Linker struct {
	self    Hello
	limits  Limits
	logger  hclog.Logger
	receive func(from Hello, message Message)
	calls   *calls
	traffic Traffic
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu      sync.RWMutex
	closed  bool
	members map[Peer]context.CancelFunc
	// links holds the established links by incarnation; the last one is used for sending.
	links  map[string][]*link
	remote map[string]*remoteLink
	// accepted counts links that other failure domains opened.
	accepted int
}

// New returns a linker without links; receive is called with the hello of each link that comes up, with
// every message other than responses, and with LinkEnded after the last message of a link. It must not block, and may
// be called from several goroutines at once.
func New(self Hello, limits Limits, logger hclog.Logger, receive func(from Hello, message Message)) *Linker {
	self.Version = Version
	return newLinker(self, limits, logger, receive)
}

func newLinker(self Hello, limits Limits, logger hclog.Logger, receive func(from Hello, message Message)) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
		self:    self,
		limits:  limits,
		logger:  logger,
		receive: receive,
		calls:   newCalls(),
		ctx:     ctx,
		cancel:  cancel,
		members: make(map[Peer]context.CancelFunc),
		links:   make(map[string][]*link),
		remote:  make(map[string]*remoteLink),
	}
}

// Traffic returns the linker's counters.
func (linker *Linker) Traffic() *Traffic { return &linker.traffic }

// Close ends all links and waits for their goroutines.
func (linker *Linker) Close() {
	linker.mu.Lock()
	linker.closed = true
	linker.mu.Unlock()
	linker.cancel()
	linker.group.Wait()
}

// SetMembers keeps links to exactly the given peers of the own failure domain.
func (linker *Linker) SetMembers(peers []Peer) {
	linker.mu.Lock()
	defer linker.mu.Unlock()
	if linker.closed {
		return
	}
	wanted := make(map[Peer]bool, len(peers))
	for _, peer := range peers {
		if peer.Incarnation == linker.self.Incarnation || peer.Address == linker.self.Address {
			continue
		}
		wanted[peer] = true
		if _, ok := linker.members[peer]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(linker.ctx)
		linker.members[peer] = cancel
		linker.group.Go(func() { linker.keep(ctx, peer) })
	}
	for peer, cancel := range linker.members {
		if !wanted[peer] {
			cancel()
			delete(linker.members, peer)
		}
	}
}

// Connected reports whether a link to the instance is up.
func (linker *Linker) Connected(incarnation string) bool { return linker.link(incarnation) != nil }

// ConnectedIn returns the incarnations in the failure domain to which a link is up.
func (linker *Linker) ConnectedIn(domain string) []string {
	linker.mu.RLock()
	defer linker.mu.RUnlock()
	incarnations := make([]string, 0, len(linker.links))
	for incarnation, links := range linker.links {
		if links[0].remote.Domain == domain {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// Send queues message for the instance; nil means queued, not received.
func (linker *Linker) Send(incarnation string, message Message) error {
	link := linker.link(incarnation)
	if link == nil {
		return ErrNoLink
	}
	return linker.sendOn(link, message)
}

// Broadcast queues message for each of the instances, encoding it once, and returns how many have a link.
func (linker *Linker) Broadcast(incarnations []string, message Message) int {
	encoded, err := encode(message)
	if err != nil {
		linker.logger.Error("message not sent", "error", eris.ToString(err, false))
		return 0
	}
	sent := 0
	for _, incarnation := range incarnations {
		if link := linker.link(incarnation); link != nil && link.enqueue(encoded) == nil {
			linker.traffic.messagesSent.Add(1)
			sent++
		}
	}
	return sent
}

func (linker *Linker) sendOn(link *link, message Message) error {
	encoded, err := encode(message)
	if err != nil {
		return err
	}
	cut, err := pieces(encoded)
	if err != nil {
		return err
	}
	if err := link.enqueue(cut...); err != nil {
		return err
	}
	linker.traffic.messagesSent.Add(1)
	return nil
}

func (linker *Linker) link(incarnation string) *link {
	linker.mu.RLock()
	defer linker.mu.RUnlock()
	links := linker.links[incarnation]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// find returns the link to peer, by its address if its incarnation is not known.
func (linker *Linker) find(peer Peer) *link {
	if peer.Incarnation != "" {
		return linker.link(peer.Incarnation)
	}
	linker.mu.RLock()
	defer linker.mu.RUnlock()
	for _, links := range linker.links {
		if last := links[len(links)-1]; last.remote.Address == peer.Address {
			return last
		}
	}
	return nil
}

// keep holds a link to peer until ctx is done.
func (linker *Linker) keep(ctx context.Context, peer Peer) {
	if linker.self.Name > peer.Name {
		sleeper.For(ctx, passiveDelay)
	}
	delay := firstRedial
	for ctx.Err() == nil {
		if existing := linker.find(peer); existing != nil {
			select {
			case <-ctx.Done():
			case <-existing.done:
			}
			continue
		}
		link, err := linker.dial(ctx, peer.Address, peer.Incarnation, linker.memberLimits())
		if err == nil {
			delay = firstRedial
			err = linker.serve(ctx, link)
		}
		if ctx.Err() == nil {
			linker.logRedial(peer, err, delay == firstRedial)
			sleeper.For(ctx, jitter(delay))
			delay = min(2*delay, lastRedial)
		}
	}
}

// logRedial warns once per series of failed attempts.
func (linker *Linker) logRedial(peer Peer, err error, first bool) {
	level := hclog.Debug
	if first {
		level = hclog.Warn
	}
	linker.logger.Log(level, "link to member is down", "peer", peer.Name, "error", eris.ToString(err, false))
}

func (linker *Linker) memberLimits() Limits {
	limits := linker.limits
	limits.IdleTimeout = 0
	return limits
}

// serve registers link, runs it to its end and returns the cause.
func (linker *Linker) serve(ctx context.Context, established *link) error {
	incarnation := established.remote.Incarnation
	linker.mu.Lock()
	linker.links[incarnation] = append(linker.links[incarnation], established)
	linker.mu.Unlock()
	linker.receive(established.remote, established.remote)
	err := established.run(ctx, linker.deliver)
	linker.receive(established.remote, LinkEnded{})
	linker.mu.Lock()
	defer linker.mu.Unlock()
	left := slices.DeleteFunc(linker.links[incarnation], func(other *link) bool { return other == established })
	linker.links[incarnation] = left
	if len(left) == 0 {
		delete(linker.links, incarnation)
	}
	return err
}

func (linker *Linker) deliver(link *link, message Message) {
	if response, ok := message.(Response); ok {
		if !linker.calls.settle(link.remote.Incarnation, response) {
			linker.traffic.strayAnswers.Add(1)
		}
		return
	}
	linker.receive(link.remote, message)
}

// jitter returns a random duration between half of delay and delay, so that peers do not reconnect in step.
func jitter(delay time.Duration) time.Duration { return delay/2 + rand.N(delay/2+1) }
