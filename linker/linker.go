package linker

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// maxKeptBufferBytes is the largest buffer that an idle link retains.
	maxKeptBufferBytes = 64 << 10
	// minRedialDelay and maxRedialDelay bound the exponential backoff between connection attempts.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 3 * time.Second
	// passiveDelay is how long the instance whose name sorts last waits for the other one to connect, so that two
	// instances that discover each other at the same time usually end up with one link.
	passiveDelay = 500 * time.Millisecond
)

// Limits holds the limits and timeouts of links.
type Limits struct {
	// QueueMessages and QueueBytes bound the send queue of one link.
	QueueMessages int
	QueueBytes    int
	// PingInterval is how long a link may receive nothing before the peer is pinged.
	PingInterval time.Duration
	// IOTimeout bounds the response to a ping, the handshake, and a write.
	IOTimeout time.Duration
	// IdleTimeout is how long a link to another failure domain may be unused before it is closed. Links to members stay
	// open.
	IdleTimeout time.Duration
	// MaxRemoteLinks bounds the links opened to other failure domains, and separately those accepted from them.
	MaxRemoteLinks int
}

// DefaultLimits returns the default limits.
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

// Peer is another instance of this instance's failure domain.
type Peer struct {
	Name string
	// Incarnation is empty while only the address is known.
	Incarnation string
	Address     string
}

// Traffic counts what a linker has sent and received.
type Traffic struct {
	framesSent    atomic.Int64
	messagesSent  atomic.Int64
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	pingsSent     atomic.Int64
	dropped       atomic.Int64
	refused       atomic.Int64
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

// Dropped returns the number of messages rejected because the queue was full.
func (traffic *Traffic) Dropped() int64 { return traffic.dropped.Load() }

// Refused returns the number of elements of state updates that were not sent, since other instances would refuse them.
func (traffic *Traffic) Refused() int64 { return traffic.refused.Load() }

// StrayAnswers returns the number of responses that matched no pending request.
func (traffic *Traffic) StrayAnswers() int64 { return traffic.strayAnswers.Load() }

// member is a peer to which a link is maintained.
type member struct {
	cancel  context.CancelFunc
	addedAt time.Time
	// absent means that the last attempt to connect has shown that no process with the peer's incarnation is at its address;
	// guarded by the linker's lock.
	absent bool
}

// Linker maintains links to the members of its failure domain and opens links to other failure domains on demand.
type Linker struct {
	self Hello
	// startedAt is when this instance started.
	startedAt time.Time
	limits    Limits
	logger    hclog.Logger
	receive   func(from Hello, message Message)
	calls     *calls
	traffic   Traffic
	// refusalLoggedAt is the Unix time in nanoseconds of the last log line about elements that were not sent.
	refusalLoggedAt atomic.Int64
	ctx             context.Context
	cancel          context.CancelFunc
	group           sync.WaitGroup

	mu      sync.RWMutex
	closed  bool
	members map[Peer]*member
	// membersKnown means that SetMembers has been called.
	membersKnown bool
	// links holds the established links by incarnation. The last one is used for sending.
	links  map[string][]*link
	remote map[string]*remoteLink
	// accepted counts the links opened by other failure domains.
	accepted int
}

// New returns a linker without links. It calls receive with the hello of each established link, with every message
// other than responses, and with LinkEnded after the last message of a link. receive must not block and may be called
// from several goroutines at once.
func New(self Hello, limits Limits, logger hclog.Logger, receive func(from Hello, message Message)) *Linker {
	self.Version, self.Revision = Version, Revision
	return newLinker(self, limits, logger, receive)
}

func newLinker(self Hello, limits Limits, logger hclog.Logger, receive func(from Hello, message Message)) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
		self:      self,
		startedAt: time.Now(),
		limits:    limits,
		logger:    logger,
		receive:   receive,
		calls:     newCalls(),
		ctx:       ctx,
		cancel:    cancel,
		members:   make(map[Peer]*member),
		links:     make(map[string][]*link),
		remote:    make(map[string]*remoteLink),
	}
}

// Traffic returns the linker's counters.
func (linker *Linker) Traffic() *Traffic { return &linker.traffic }

// flushInterval is how often Flush checks the queue of a link.
const flushInterval = 2 * time.Millisecond

// Flush waits until the peers have received the messages that are queued on all links, or ctx is done. A peer that does not respond
// within the I/O timeout is not waited for.
func (linker *Linker) Flush(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	linker.mu.RLock()
	defer linker.mu.RUnlock()
	for _, links := range linker.links {
		for _, link := range links {
			group.Go(func() { link.flush(ctx) })
		}
	}
}

// Close closes all links and waits for their goroutines. Queued messages are lost.
func (linker *Linker) Close() {
	linker.mu.Lock()
	linker.closed = true
	linker.mu.Unlock()
	linker.cancel()
	linker.group.Wait()
}

// SetMembers sets the peers of this failure domain to which links are maintained, and drops maintained links to others.
func (linker *Linker) SetMembers(peers []Peer) {
	linker.mu.Lock()
	defer linker.mu.Unlock()
	if linker.closed {
		return
	}
	linker.membersKnown = true
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
		added := &member{cancel: cancel, addedAt: time.Now()}
		linker.members[peer] = added
		linker.group.Go(func() { linker.maintainLink(ctx, peer, added) })
	}
	for peer, member := range linker.members {
		if !wanted[peer] {
			member.cancel()
			delete(linker.members, peer)
		}
	}
}

// MembersSettled reports whether the members are known, and each of them is linked, is known to be absent or has been
// given the timeout to connect.
func (linker *Linker) MembersSettled(timeout time.Duration) bool {
	linker.mu.RLock()
	known := linker.membersKnown
	var pending []Peer
	for peer, member := range linker.members {
		if !member.absent && time.Since(member.addedAt) < timeout {
			pending = append(pending, peer)
		}
	}
	linker.mu.RUnlock()
	return known && !slices.ContainsFunc(pending, func(peer Peer) bool { return linker.linkTo(peer) == nil })
}

// AllLinked reports whether each member is linked or is known to be absent.
func (linker *Linker) AllLinked() bool {
	linker.mu.RLock()
	var present []Peer
	for peer, member := range linker.members {
		if !member.absent {
			present = append(present, peer)
		}
	}
	linker.mu.RUnlock()
	return !slices.ContainsFunc(present, func(peer Peer) bool { return linker.linkTo(peer) == nil })
}

// setAbsent records whether an attempt to connect to a member has shown that it is absent.
func (linker *Linker) setAbsent(member *member, err error) {
	linker.mu.Lock()
	defer linker.mu.Unlock()
	member.absent = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errOtherIncarnation)
}

// Connected reports whether there is an established link to the instance.
func (linker *Linker) Connected(incarnation string) bool { return linker.link(incarnation) != nil }

// ConnectedIn returns the incarnations in the failure domain to which there is an established link.
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

// Send queues message for the instance. A nil error means that it was queued, not that it was received.
func (linker *Linker) Send(incarnation string, message Message) error {
	link := linker.link(incarnation)
	if link == nil {
		return ErrNoLink
	}
	return linker.sendOn(link, message)
}

// Broadcast encodes message once and queues it for each of the instances. It returns the number of instances for which
// it was queued.
func (linker *Linker) Broadcast(incarnations []string, message Message) int {
	messages, err := linker.encodeToSend(message)
	if err != nil {
		linker.logger.Error("message not sent", "error", eris.ToString(err, false))
		return 0
	}
	sent := 0
	for _, incarnation := range incarnations {
		if link := linker.link(incarnation); link != nil && linker.enqueue(link, messages) == nil {
			sent++
		}
	}
	return sent
}

// sendOn queues message on link.
func (linker *Linker) sendOn(link *link, message Message) error {
	messages, err := linker.encodeToSend(message)
	if err != nil {
		return err
	}
	return linker.enqueue(link, messages)
}

// encodedMessage holds the parts of one message.
type encodedMessage [][]byte

// enqueue queues messages on link.
func (linker *Linker) enqueue(link *link, messages []encodedMessage) error {
	for _, parts := range messages {
		if err := link.enqueue(parts...); err != nil {
			return err
		}
		linker.traffic.messagesSent.Add(1)
	}
	return nil
}

// encodeToSend encodes a message so that receivers can decode it: a state update as several messages if it is too large for one. It
// returns ErrUnsendable for any other message that receivers would refuse.
func (linker *Linker) encodeToSend(message Message) ([]encodedMessage, error) {
	messages := []Message{message}
	if update, ok := message.(StateUpdate); ok {
		divided, refused := divide(&update)
		linker.recordRefusals(&refused)
		messages = messages[:0]
		for _, next := range divided {
			messages = append(messages, next)
		}
	} else if err := checkLengths(message); err != nil {
		return nil, eris.Wrap(ErrUnsendable, eris.ToString(err, false))
	}
	encodedMessages := make([]encodedMessage, len(messages))
	for i, message := range messages {
		encoded, err := encode(message)
		if err != nil {
			return nil, eris.Wrap(ErrUnsendable, eris.ToString(err, false))
		}
		if encodedMessages[i], err = splitMessage(encoded); err != nil {
			return nil, err
		}
	}
	return encodedMessages, nil
}

// refusalLogInterval is the minimum time between two log lines about elements that were not sent.
const refusalLogInterval = time.Second

// recordRefusals counts and logs elements of a state update that were not sent.
func (linker *Linker) recordRefusals(refused *refusals) {
	if refused.count == 0 {
		return
	}
	total := linker.traffic.refused.Add(refused.count)
	now := time.Now().UnixNano()
	last := linker.refusalLoggedAt.Load()
	if now-last < refusalLogInterval.Nanoseconds() || !linker.refusalLoggedAt.CompareAndSwap(last, now) {
		return
	}
	linker.logger.Error("elements of a state update not sent, since other instances would refuse them",
		"list", refused.list, "count", refused.count, "total", total, "error", eris.ToString(refused.err, false))
}

// link returns the link used for sending to the instance, or nil.
func (linker *Linker) link(incarnation string) *link {
	linker.mu.RLock()
	defer linker.mu.RUnlock()
	links := linker.links[incarnation]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// linkTo returns the link to peer, or nil. It looks the link up by address if the incarnation is not known.
func (linker *Linker) linkTo(peer Peer) *link {
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

// maintainLink keeps a link to peer established until ctx is done. It dials only while there is no link, whichever side
// opened it.
func (linker *Linker) maintainLink(ctx context.Context, peer Peer, member *member) {
	if linker.self.Name > peer.Name {
		sleeper.For(ctx, passiveDelay)
	}
	delay := minRedialDelay
	for ctx.Err() == nil {
		if existing := linker.linkTo(peer); existing != nil {
			select {
			case <-ctx.Done():
			case <-existing.done:
			}
			continue
		}
		link, err := linker.dial(ctx, peer.Address, peer.Incarnation, linker.memberLimits())
		linker.setAbsent(member, err)
		if err == nil {
			began := time.Now()
			err = linker.serve(ctx, link)
			if !endsAgain(link, time.Since(began)) {
				delay = minRedialDelay
			}
		}
		if ctx.Err() == nil {
			linker.logLinkDown(peer, err, delay == minRedialDelay)
			sleeper.For(ctx, jitter(delay))
			delay = min(2*delay, maxRedialDelay)
		}
	}
}

// endsAgain reports whether the next link to the same peer would probably end at once like this one, which lasted for the given time: the
// peers tell each other the same when they are linked, and one of them cannot decode it.
func endsAgain(ended *link, lasted time.Duration) bool {
	return ended.undecodable.Load() && lasted < maxRedialDelay
}

// logLinkDown logs a warning for the first of a series of failures, and the others at debug level.
func (linker *Linker) logLinkDown(peer Peer, err error, first bool) {
	level := hclog.Debug
	if first {
		level = hclog.Warn
	}
	linker.logger.Log(level, "link to member is down", "peer", peer.Name, "error", eris.ToString(err, false))
}

// memberLimits returns the limits of links within the failure domain, which are never closed for being idle.
func (linker *Linker) memberLimits() Limits {
	limits := linker.limits
	limits.IdleTimeout = 0
	return limits
}

// serve registers the link, runs it until it ends and returns the cause.
func (linker *Linker) serve(ctx context.Context, established *link) error {
	incarnation := established.remote.Incarnation
	linker.mu.Lock()
	linker.links[incarnation] = append(linker.links[incarnation], established)
	linker.mu.Unlock()
	linker.receive(established.remote, established.remote)
	err := established.run(ctx, linker.deliver)
	if established.undecodable.Load() {
		linker.logger.Warn("link ended by a message that cannot be decoded", "peer", established.remote.Name, "error", eris.ToString(err, false))
	}
	linker.remove(established)
	// Whoever waits for the end of the link must not find it again.
	close(established.done)
	linker.receive(established.remote, LinkEnded{Cause: eris.ToString(err, false)})
	return err
}

// remove forgets a link that has ended.
func (linker *Linker) remove(ended *link) {
	linker.mu.Lock()
	defer linker.mu.Unlock()
	incarnation := ended.remote.Incarnation
	remaining := slices.DeleteFunc(linker.links[incarnation], func(other *link) bool { return other == ended })
	linker.links[incarnation] = remaining
	if len(remaining) == 0 {
		delete(linker.links, incarnation)
	}
}

// deliver passes a response to its pending request and any other message to the receiver.
func (linker *Linker) deliver(link *link, message Message) {
	if response, ok := message.(Response); ok {
		if !linker.calls.complete(link.remote.Incarnation, response) {
			linker.traffic.strayAnswers.Add(1)
		}
		return
	}
	linker.receive(link.remote, message)
}

// jitter returns a random duration between half of delay and delay, so that peers do not reconnect in lockstep.
func jitter(delay time.Duration) time.Duration { return delay/2 + rand.N(delay/2+1) }
