package gossiper

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// flushDelay is how long a claim waits for others so that one frame carries them.
	flushDelay = 2 * time.Millisecond
	// broadcastIntervalPerPeer is the time between two broadcasts for each other instance of the own failure domain, and for
	// farTimes of other ones: an instance then receives one frame in this time from all, however many they are.
	broadcastIntervalPerPeer = 2400 * time.Microsecond
	// remoteIntervalFactor is how many times less often instances of other failure domains hear of rooms: their targets are used
	// only when the own ones are full or much slower.
	remoteIntervalFactor = 3
	// minBroadcastInterval is the least time between two broadcasts.
	minBroadcastInterval = 4 * time.Millisecond
	// heartbeatInterval is how often an instance is heard of without news.
	heartbeatInterval = 120 * time.Millisecond
	// PeerTimeout is how long an instance may not be heard of before it counts as gone: four heartbeats. Its runs are
	// stopped then, well before a caller that it lost sends its job again.
	PeerTimeout = 500 * time.Millisecond
	// pauseThreshold is how late a heartbeat must be to show that this instance itself stood still.
	pauseThreshold = 300 * time.Millisecond
	// forgetTimeout is how long an instance that is gone stays known.
	forgetTimeout = time.Minute
)

// Receiver takes what other instances tell.
type Receiver interface {
	// HandleNews takes the news of one instance.
	HandleNews(from string, news linker.News)
	// PeerLost takes that an instance is not heard of any more.
	PeerLost(from string)
	// HandleDelegation takes a job to run for another instance, and must not block.
	HandleDelegation(from string, delegation linker.Delegation)
	// LinkEnded takes that a link to an instance has ended; there may be another one.
	LinkEnded(from string)
}

// peer is another instance.
type peer struct {
	hello     linker.Hello
	lastHeard time.Time
	leaving   bool
	failed    bool
	// delegating means that the instance passes its jobs on. Two such instances send each other nothing.
	delegating bool
	// busy means that it has jobs of its own all the same, such as those of before it knew the others.
	busy bool
}

// Gossiper sends and receives news between instances.
type Gossiper struct {
	self     linker.Hello
	links    *linker.Linker
	receiver Receiver
	now      func() time.Time
	group    sync.WaitGroup
	cancel   context.CancelFunc
	// wake starts sending to single instances, and changed a broadcast.
	wake    chan struct{}
	changed chan struct{}

	mu sync.Mutex
	// outbox holds what is not sent yet to single instances, and urgent that it is sent at once.
	outbox map[string]*linker.News
	urgent bool
	// reports and demand are broadcast next.
	reports map[string]scheduler.CapacityReport
	// remoteReports are broadcast next to other failure domains, and farSent is when they were last.
	remoteReports map[string]scheduler.CapacityReport
	remoteSentAt  time.Time
	demand        scheduler.Demand
	busy          bool
	leaving       bool
	checkedAt     time.Time
	peers         map[string]*peer
	// delegating means that this instance passes its jobs on.
	delegating bool
	// heartbeatSentAt is when heartbeats were last sent to all, zero if they are due at once.
	heartbeatSentAt time.Time
	// peersVersion counts the changes of the instances that stay.
	peersVersion int64
}

// New returns a gossiper of the instance self that passes news on to receiver; now returns the time.
func New(self linker.Hello, receiver Receiver, now func() time.Time) *Gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	gossiper := &Gossiper{
		self:          self,
		receiver:      receiver,
		now:           now,
		cancel:        cancel,
		wake:          make(chan struct{}, 1),
		changed:       make(chan struct{}, 1),
		outbox:        make(map[string]*linker.News),
		reports:       make(map[string]scheduler.CapacityReport),
		remoteReports: make(map[string]scheduler.CapacityReport),
		checkedAt:     now(),
		peers:         make(map[string]*peer),
	}
	gossiper.group.Go(func() { gossiper.sendOutbox(ctx) })
	gossiper.group.Go(func() { gossiper.broadcast(ctx) })
	return gossiper
}

// SetLinks sets the links to send on; it is called once, before the first member is known.
func (gossiper *Gossiper) SetLinks(links *linker.Linker) {
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
	gossiper.leaving, gossiper.heartbeatSentAt = true, time.Time{}
	notify(gossiper.changed)
}

// newsFor adds news for one instance; the caller holds the lock.
func (gossiper *Gossiper) newsFor(incarnation string, urgent bool) *linker.News {
	news, ok := gossiper.outbox[incarnation]
	if !ok {
		news = &linker.News{}
		gossiper.outbox[incarnation] = news
	}
	gossiper.urgent = gossiper.urgent || urgent
	notify(gossiper.wake)
	return news
}

// Claim tells the reader of a target of a start.
func (gossiper *Gossiper) Claim(reader string, claim scheduler.Claim) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	news := gossiper.newsFor(reader, false)
	news.Claims = append(news.Claims, linker.Claim{
		Target: claim.Target, Task: claim.Run.Task, Attempt: claim.Run.Attempt,
		MilliCores: claim.Resources.MilliCores, MemoryMB: claim.Resources.MemoryMB, Accelerators: claim.Resources.Accelerators,
		EstimateMS: claim.Estimate.Milliseconds(),
	})
}

// Withdraw tells the reader of a target that a run does not occupy it.
func (gossiper *Gossiper) Withdraw(reader, target string, run scheduler.Run) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	news := gossiper.newsFor(reader, false)
	news.Withdrawn = append(news.Withdrawn, linker.RunName{Target: target, Task: run.Task, Attempt: run.Attempt})
}

// RelayStop asks the reader of a target to stop a run.
func (gossiper *Gossiper) RelayStop(reader, target string, run scheduler.Run) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	news := gossiper.newsFor(reader, true)
	news.Stops = append(news.Stops, linker.RunName{Target: target, Task: run.Task, Attempt: run.Attempt})
}

// SendRunEnd tells the owner of a run of its end, at once, since a caller waits for it.
func (gossiper *Gossiper) SendRunEnd(owner, target string, end scheduler.End) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	news := gossiper.newsFor(owner, true)
	news.Ends = append(news.Ends, linker.RunEnd{
		Target: target, Task: end.Run.Task, Attempt: end.Run.Attempt, Number: end.Seq, Cause: int64(end.Cause),
	})
}

// Abandon tells the instance that runs a job for this one that its caller needs it no more.
func (gossiper *Gossiper) Abandon(delegate, job string) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	news := gossiper.newsFor(delegate, true)
	news.Abandoned = append(news.Abandoned, job)
}

// Call sends a request to an instance and returns the response; see linker.Linker.Call.
func (gossiper *Gossiper) Call(ctx context.Context, incarnation string, request linker.Request) (linker.Response, error) {
	links := gossiper.currentLinks()
	if links == nil {
		return nil, linker.ErrNoLink
	}
	return links.Call(ctx, incarnation, request)
}

// AnswerDelegation sends the outcome of a delegated job to the instance that asked for it; if that fails, the link has ended and
// the instance no longer waits.
func (gossiper *Gossiper) AnswerDelegation(incarnation string, answer linker.DelegationAnswer) error {
	links := gossiper.currentLinks()
	if links == nil {
		return linker.ErrNoLink
	}
	return links.Send(incarnation, answer)
}

func (gossiper *Gossiper) currentLinks() *linker.Linker {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.links
}

// Offer tells one instance at once of the room of a target.
func (gossiper *Gossiper) Offer(to, target string, free scheduler.Resources) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	news := gossiper.newsFor(to, true)
	news.Rooms = append(news.Rooms, encodeReport(scheduler.CapacityReport{Target: target, FreeCapacity: free}))
}

// Report tells all instances of the room of a target.
func (gossiper *Gossiper) Report(report scheduler.CapacityReport) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.reports[report.Target], gossiper.remoteReports[report.Target] = report, report
	notify(gossiper.changed)
}

// SetDemand tells all instances how many tasks wait, and whether this instance has any jobs of its own.
func (gossiper *Gossiper) SetDemand(demand scheduler.Demand, busy bool) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	// Only an instance that passes its jobs on is treated by whether it is busy.
	changed := demand != gossiper.demand || busy != gossiper.busy && gossiper.delegating
	gossiper.demand, gossiper.busy = demand, busy
	if changed {
		notify(gossiper.changed)
	}
}

func encodeReport(report scheduler.CapacityReport) linker.Room {
	free := report.FreeCapacity
	return linker.Room{
		Target: report.Target, MilliCores: free.MilliCores, MemoryMB: free.MemoryMB, Accelerators: free.Accelerators, Lost: report.Unreachable,
	}
}

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// sendOutbox sends what concerns single instances.
func (gossiper *Gossiper) sendOutbox(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gossiper.wake:
		}
		if !gossiper.isUrgent() {
			time.Sleep(flushDelay)
		}
		gossiper.mu.Lock()
		outbox, links := gossiper.outbox, gossiper.links
		gossiper.outbox, gossiper.urgent = make(map[string]*linker.News, len(outbox)), false
		gossiper.mu.Unlock()
		if links == nil {
			continue
		}
		for incarnation, news := range outbox {
			// What cannot be sent is repeated: claims and abandoned jobs by their owner, and ends when a claim comes after
			// them.
			_ = links.Send(incarnation, *news)
		}
	}
}

func (gossiper *Gossiper) isUrgent() bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.urgent
}

// broadcast sends rooms and demand to all, and a heartbeat if there is nothing to tell.
func (gossiper *Gossiper) broadcast(ctx context.Context) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-gossiper.changed:
		}
		pause := gossiper.sendAll()
		gossiper.detectLostPeers()
		timer.Reset(heartbeatInterval)
		time.Sleep(pause)
	}
}

// sendAll sends what is due and returns the time to the next broadcast.
func (gossiper *Gossiper) sendAll() time.Duration {
	gossiper.mu.Lock()
	links := gossiper.links
	plan := gossiper.plan(gossiper.now())
	gossiper.mu.Unlock()
	if links != nil {
		for _, broadcast := range plan.broadcasts {
			links.Broadcast(broadcast.to, broadcast.news)
		}
	}
	return plan.pause
}

// broadcast is one message and the instances that get it.
type broadcast struct {
	to   []string
	news linker.News
}

// broadcastPlan is what is sent now, and the time to the next broadcast.
type broadcastPlan struct {
	broadcasts []broadcast
	pause      time.Duration
}

// plan returns what is to be sent at now: rooms to the own failure domain, less often to others, and heartbeats only to
// instances that pass their jobs on. Those that have jobs of their own all the same get the rooms too: the owner of a run
// has to know how long its lease may last. The caller holds the lock.
func (gossiper *Gossiper) plan(now time.Time) broadcastPlan {
	beatDue := now.Sub(gossiper.heartbeatSentAt) >= heartbeatInterval
	var near, far, beats []string
	for incarnation, peer := range gossiper.peers {
		switch {
		case peer.delegating && (gossiper.delegating || !peer.busy):
			if beatDue && !gossiper.delegating {
				beats = append(beats, incarnation)
			}
		case peer.hello.Domain == gossiper.self.Domain:
			near = append(near, incarnation)
		default:
			far = append(far, incarnation)
		}
	}
	// However many instances there are, the others take one that is not heard of for some heartbeats to be gone.
	pause := min(max(minBroadcastInterval, broadcastIntervalPerPeer*time.Duration(remoteIntervalFactor*len(near)+len(far))/remoteIntervalFactor), heartbeatInterval)
	plan := broadcastPlan{pause: pause}
	news := linker.News{Waiting: append([]int64(nil), gossiper.demand[:]...), Leaving: gossiper.leaving, Busy: gossiper.busy}
	if len(beats) > 0 {
		plan.broadcasts = append(plan.broadcasts, broadcast{beats, news})
	}
	if beatDue {
		gossiper.heartbeatSentAt = now
	}
	if farDue := now.Sub(gossiper.remoteSentAt) >= (remoteIntervalFactor-1)*pause; farDue || beatDue {
		gossiper.remoteSentAt = now
		if len(far) > 0 {
			plan.broadcasts = append(plan.broadcasts, broadcast{far, withReports(news, gossiper.remoteReports)})
		}
		clear(gossiper.remoteReports)
	}
	if len(near) > 0 {
		plan.broadcasts = append(plan.broadcasts, broadcast{near, withReports(news, gossiper.reports)})
	}
	clear(gossiper.reports)
	return plan
}

func withReports(news linker.News, reports map[string]scheduler.CapacityReport) linker.News {
	for _, report := range reports {
		news.Rooms = append(news.Rooms, encodeReport(report))
	}
	return news
}

// detectLostPeers finds the peers that are not heard of any more.
func (gossiper *Gossiper) detectLostPeers() {
	now := gossiper.now()
	var lost []string
	links := gossiper.currentLinks()
	gossiper.mu.Lock()
	if now.Sub(gossiper.checkedAt) > heartbeatInterval+pauseThreshold {
		// This instance stood still, so that the silence says nothing of the others.
		for _, peer := range gossiper.peers {
			peer.lastHeard = now
		}
	}
	gossiper.checkedAt = now
	for incarnation, peer := range gossiper.peers {
		if gossiper.delegating && peer.delegating && links != nil && links.Connected(incarnation) {
			// It sends nothing to this instance, and nothing depends on how soon its loss is known.
			continue
		}
		if !peer.failed && now.Sub(peer.lastHeard) > PeerTimeout {
			peer.failed = true
			lost = append(lost, incarnation)
		}
		if now.Sub(peer.lastHeard) > forgetTimeout {
			delete(gossiper.peers, incarnation)
		}
	}
	if len(lost) > 0 {
		gossiper.updateRoles()
	}
	gossiper.mu.Unlock()
	for _, incarnation := range lost {
		gossiper.receiver.PeerLost(incarnation)
	}
}

// Receive takes a message of a link.
func (gossiper *Gossiper) Receive(from linker.Hello, message linker.Message) {
	switch message := message.(type) {
	case linker.LinkEnded:
		gossiper.receiver.LinkEnded(from.Incarnation)
	case linker.News:
		gossiper.recordContact(from, message)
		gossiper.receiver.HandleNews(from.Incarnation, message)
	case linker.Delegation:
		gossiper.recordContact(from, linker.News{})
		gossiper.receiver.HandleDelegation(from.Incarnation, message)
	default:
		gossiper.recordContact(from, linker.News{})
	}
}

// recordContact notes that an instance was heard of; only broadcast news, which name the waiting tasks, tell its state.
func (gossiper *Gossiper) recordContact(from linker.Hello, news linker.News) {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	known, ok := gossiper.peers[from.Incarnation]
	if !ok {
		known = &peer{hello: from}
		gossiper.peers[from.Incarnation] = known
	}
	leaving := known.leaving
	if len(news.Waiting) > 0 {
		leaving, known.busy = news.Leaving, news.Busy
	}
	changed := !ok || known.failed || leaving != known.leaving
	known.lastHeard, known.failed, known.leaving = now, false, leaving
	if changed {
		gossiper.updateRoles()
	}
}

// SilentDomains returns the other failure domains with instances that stay, and whether none of them was heard of for a time.
func (gossiper *Gossiper) SilentDomains(duration time.Duration) map[string]bool {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	silent := make(map[string]bool)
	for _, peer := range gossiper.peers {
		if peer.leaving || peer.delegating && gossiper.delegating {
			continue
		}
		quiet := now.Sub(peer.lastHeard) > duration
		known, ok := silent[peer.hello.Domain]
		silent[peer.hello.Domain] = quiet && (known || !ok)
	}
	return silent
}

// Alive reports whether the instance was heard of lately.
func (gossiper *Gossiper) Alive(incarnation string) bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	peer, ok := gossiper.peers[incarnation]
	return ok && !peer.failed
}

// Reachable reports whether news can be sent to the instance now.
func (gossiper *Gossiper) Reachable(incarnation string) bool {
	links := gossiper.currentLinks()
	return links != nil && links.Connected(incarnation)
}

// PeersVersion returns a number that rises with each change of what Staying returns.
func (gossiper *Gossiper) PeersVersion() int64 {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peersVersion
}

// EligiblePeers returns the hellos of the instances that are heard of, do not leave and do not pass their jobs on.
func (gossiper *Gossiper) EligiblePeers() []linker.Hello {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	var staying []linker.Hello
	for _, peer := range gossiper.peers {
		if !peer.failed && !peer.leaving && !peer.delegating {
			staying = append(staying, peer.hello)
		}
	}
	return staying
}
