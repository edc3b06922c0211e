package gossiper

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// flushTime is how long claims wait for others so that one frame carries them; two instances that choose the same
	// target within it cost one rejected start.
	flushTime = 3 * time.Millisecond
	// heartbeatTime is how often an instance is heard of without news.
	heartbeatTime = 120 * time.Millisecond
	// SilenceTime is how long an instance may not be heard of before it counts as gone: four heartbeats. Its runs are
	// stopped then, well before a caller that it lost sends its job again.
	SilenceTime = 500 * time.Millisecond
	// pauseTime is a gap between heartbeats that shows that this instance itself stood still.
	pauseTime = 300 * time.Millisecond
)

// Receiver takes what other instances tell.
type Receiver interface {
	// Claimed takes the claim of an instance.
	Claimed(owner string, claim scheduler.Claim)
	// Ended takes the end of a run on a target.
	Ended(target string, end scheduler.End)
	// Seen takes that an instance renewed the lease of a target.
	Seen(target string)
	// Waiting takes the waiting tasks of an instance.
	Waiting(owner string, demand scheduler.Demand)
	// TakenOver takes that an instance has a job now.
	TakenOver(job string)
	// Gone takes that an instance is not heard of any more.
	Gone(owner string)
	// Settle is called after the news of one message.
	Settle()
}

// peer is another instance.
type peer struct {
	hello   linker.Hello
	heard   time.Time
	leaving bool
	gone    bool
}

// Gossiper sends and receives news between instances.
type Gossiper struct {
	links    *linker.Linker
	receiver Receiver
	now      func() time.Time
	group    sync.WaitGroup
	cancel   context.CancelFunc
	wake     chan struct{}

	mu sync.Mutex
	// pending is what is not sent yet.
	pending linker.News
	demand  scheduler.Demand
	urgent  bool
	leaving bool
	ticked  time.Time
	peers   map[string]*peer
}

// New returns a gossiper that passes news on to receiver; now returns the time.
func New(receiver Receiver, now func() time.Time) *Gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	gossiper := &Gossiper{receiver: receiver, now: now, cancel: cancel, wake: make(chan struct{}, 1), peers: make(map[string]*peer)}
	gossiper.ticked = now()
	gossiper.group.Go(func() { gossiper.send(ctx) })
	return gossiper
}

// Use sets the links to send on; it is called once, before the first member is known.
func (gossiper *Gossiper) Use(links *linker.Linker) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.links = links
}

// Close ends sending.
func (gossiper *Gossiper) Close() {
	gossiper.cancel()
	gossiper.group.Wait()
}

// Leave tells the other instances that this one has begun a planned stop.
func (gossiper *Gossiper) Leave() {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.leaving = true
	gossiper.poke(true)
}

// Claim tells of a start.
func (gossiper *Gossiper) Claim(claim scheduler.Claim) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.pending.Claims = append(gossiper.pending.Claims, linker.Claim{
		Target: claim.Target, Task: claim.Run.Task, Attempt: claim.Run.Attempt,
		MilliCores: claim.Size.MilliCores, MemoryMB: claim.Size.MemoryMB, Accelerators: claim.Size.Accelerators,
		EstimateMS: claim.Estimate.Milliseconds(),
	})
	gossiper.poke(false)
}

// End tells of the end of a run; it is sent at once, since its owner waits for it.
func (gossiper *Gossiper) End(target string, end scheduler.End) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.pending.Ends = append(gossiper.pending.Ends, linker.RunEnd{
		Target: target, Task: end.Run.Task, Attempt: end.Run.Attempt, Number: end.Number, Cause: int64(end.Cause),
	})
	gossiper.poke(true)
}

// Seen tells that the lease of a target was renewed.
func (gossiper *Gossiper) Seen(target string) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.pending.Seen = append(gossiper.pending.Seen, target)
	gossiper.poke(false)
}

// TakeOver tells that this instance has a job that others may have too.
func (gossiper *Gossiper) TakeOver(job string) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.pending.TakenOver = append(gossiper.pending.TakenOver, job)
	gossiper.poke(true)
}

// Waiting tells how many tasks wait.
func (gossiper *Gossiper) Waiting(demand scheduler.Demand) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if demand != gossiper.demand {
		gossiper.demand = demand
		gossiper.poke(false)
	}
}

// poke wakes the sender; the caller holds the lock.
func (gossiper *Gossiper) poke(urgent bool) {
	gossiper.urgent = gossiper.urgent || urgent
	select {
	case gossiper.wake <- struct{}{}:
	default:
	}
}

// send sends what is pending, at the latest after the heartbeat time.
func (gossiper *Gossiper) send(ctx context.Context) {
	timer := time.NewTimer(heartbeatTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			gossiper.flush()
			gossiper.watch()
			timer.Reset(heartbeatTime)
		case <-gossiper.wake:
			if !gossiper.isUrgent() {
				time.Sleep(flushTime)
			}
			gossiper.flush()
		}
	}
}

func (gossiper *Gossiper) isUrgent() bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.urgent
}

func (gossiper *Gossiper) flush() {
	gossiper.mu.Lock()
	news := gossiper.pending
	news.Waiting = append([]int64(nil), gossiper.demand[:]...)
	news.Leaving = gossiper.leaving
	gossiper.pending, gossiper.urgent = linker.News{}, false
	links := gossiper.links
	incarnations := make([]string, 0, len(gossiper.peers))
	for incarnation := range gossiper.peers {
		incarnations = append(incarnations, incarnation)
	}
	gossiper.mu.Unlock()
	if links != nil && len(incarnations) > 0 {
		links.Broadcast(incarnations, news)
	}
}

// watch finds the peers that are not heard of any more.
func (gossiper *Gossiper) watch() {
	now := gossiper.now()
	var lost []string
	gossiper.mu.Lock()
	if now.Sub(gossiper.ticked) > heartbeatTime+pauseTime {
		// This instance stood still, so that the silence says nothing of the others.
		for _, peer := range gossiper.peers {
			peer.heard = now
		}
	}
	gossiper.ticked = now
	for incarnation, peer := range gossiper.peers {
		if !peer.gone && now.Sub(peer.heard) > SilenceTime {
			peer.gone = true
			lost = append(lost, incarnation)
		}
		if now.Sub(peer.heard) > forgetTime {
			delete(gossiper.peers, incarnation)
		}
	}
	gossiper.mu.Unlock()
	for _, incarnation := range lost {
		gossiper.receiver.Gone(incarnation)
	}
}

// forgetTime is how long an instance that is gone stays known.
const forgetTime = time.Minute

// Receive takes a message of a link.
func (gossiper *Gossiper) Receive(from linker.Hello, message linker.Message) {
	now := gossiper.now()
	gossiper.mu.Lock()
	known, ok := gossiper.peers[from.Incarnation]
	if !ok {
		known = &peer{hello: from}
		gossiper.peers[from.Incarnation] = known
	}
	known.heard, known.gone = now, false
	news, isNews := message.(linker.News)
	if isNews {
		known.leaving = news.Leaving
	}
	gossiper.mu.Unlock()
	if isNews {
		gossiper.pass(from.Incarnation, news)
	}
}

func (gossiper *Gossiper) pass(owner string, news linker.News) {
	for _, claim := range news.Claims {
		gossiper.receiver.Claimed(owner, scheduler.Claim{
			Target: claim.Target, Run: scheduler.Run{Task: claim.Task, Attempt: claim.Attempt},
			Size:     scheduler.Size{MilliCores: claim.MilliCores, MemoryMB: claim.MemoryMB, Accelerators: claim.Accelerators},
			Estimate: time.Duration(claim.EstimateMS) * time.Millisecond,
		})
	}
	var demand scheduler.Demand
	copy(demand[:], news.Waiting)
	gossiper.receiver.Waiting(owner, demand)
	for _, end := range news.Ends {
		gossiper.receiver.Ended(end.Target, scheduler.End{
			Number: end.Number, Run: scheduler.Run{Task: end.Task, Attempt: end.Attempt}, Cause: scheduler.Cause(end.Cause),
		})
	}
	for _, target := range news.Seen {
		gossiper.receiver.Seen(target)
	}
	for _, job := range news.TakenOver {
		gossiper.receiver.TakenOver(job)
	}
	gossiper.receiver.Settle()
}

// Alive reports whether the instance was heard of lately.
func (gossiper *Gossiper) Alive(incarnation string) bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	peer, ok := gossiper.peers[incarnation]
	return ok && !peer.gone
}

// Reachable reports whether news can be sent to the instance now.
func (gossiper *Gossiper) Reachable(incarnation string) bool {
	gossiper.mu.Lock()
	links := gossiper.links
	gossiper.mu.Unlock()
	return links != nil && links.Connected(incarnation)
}

// Staying returns the instances that are heard of and do not leave, with the name and address that they gave.
func (gossiper *Gossiper) Staying() []linker.Hello {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	var staying []linker.Hello
	for _, peer := range gossiper.peers {
		if !peer.gone && !peer.leaving {
			staying = append(staying, peer.hello)
		}
	}
	return staying
}
