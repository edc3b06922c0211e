package gossiper

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// flushTime is how long a claim waits for others so that one frame carries them.
	flushTime = 2 * time.Millisecond
	// reportTimePerPeer is the time between two broadcasts for each other instance of the own failure domain, and for
	// farTimes of other ones: an instance then receives one frame in this time from all, however many they are.
	reportTimePerPeer = 2400 * time.Microsecond
	// farTimes is how many times less often instances of other failure domains hear of rooms: their targets are used
	// only when the own ones are full or much slower.
	farTimes = 3
	// minReportTime is the least time between two broadcasts.
	minReportTime = 4 * time.Millisecond
	// heartbeatTime is how often an instance is heard of without news.
	heartbeatTime = 120 * time.Millisecond
	// PeerTimeout is how long an instance may not be heard of before it counts as gone: four heartbeats. Its runs are
	// stopped then, well before a caller that it lost sends its job again.
	PeerTimeout = 500 * time.Millisecond
	// pauseTime is how late a heartbeat must be to show that this instance itself stood still.
	pauseTime = 300 * time.Millisecond
	// forgetTime is how long an instance that is gone stays known.
	forgetTime = time.Minute
)

// Receiver takes what other instances tell.
type Receiver interface {
	// HandleStateUpdate takes the news of one instance.
	HandleStateUpdate(from string, update linker.StateUpdate)
	// PeerLost takes that an instance is not heard of any more.
	PeerLost(from string)
	// HandleDelegation takes a job to run for another instance, and must not block.
	HandleDelegation(from string, delegation linker.Delegation)
	// LinkEnded takes that a link to an instance has ended; there may be another one.
	LinkEnded(from string)
}

// peer is another instance.
type peer struct {
	hello   linker.Hello
	heard   time.Time
	leaving bool
	gone    bool
	// delegates means that the instance passes its jobs on. Two such instances send each other nothing.
	delegates bool
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
	// direct holds what is not sent yet to single instances, and urgent that it is sent at once.
	direct map[string]*linker.StateUpdate
	urgent bool
	// reports and demand are broadcast next.
	reports map[string]scheduler.CapacityReport
	// farReports are broadcast next to other failure domains, and farSent is when they were last.
	farReports map[string]scheduler.CapacityReport
	farSent    time.Time
	demand     scheduler.Demand
	busy       bool
	leaving    bool
	ticked     time.Time
	peers      map[string]*peer
	// delegates means that this instance passes its jobs on.
	delegates bool
	// beaten is when heartbeats were last sent to all, zero if they are due at once.
	beaten time.Time
	// version counts the changes of the instances that stay.
	version int64
}

// New returns a gossiper of the instance self that passes news on to receiver; now returns the time.
func New(self linker.Hello, receiver Receiver, now func() time.Time) *Gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	gossiper := &Gossiper{
		self:       self,
		receiver:   receiver,
		now:        now,
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		changed:    make(chan struct{}, 1),
		direct:     make(map[string]*linker.StateUpdate),
		reports:    make(map[string]scheduler.CapacityReport),
		farReports: make(map[string]scheduler.CapacityReport),
		ticked:     now(),
		peers:      make(map[string]*peer),
	}
	gossiper.group.Go(func() { gossiper.sendDirect(ctx) })
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
	gossiper.leaving, gossiper.beaten = true, time.Time{}
	poke(gossiper.changed)
}

// to adds news for one instance; the caller holds the lock.
func (gossiper *Gossiper) to(incarnation string, urgent bool) *linker.StateUpdate {
	update, ok := gossiper.direct[incarnation]
	if !ok {
		update = &linker.StateUpdate{}
		gossiper.direct[incarnation] = update
	}
	gossiper.urgent = gossiper.urgent || urgent
	poke(gossiper.wake)
	return update
}

// Claim tells the reader of a target of a start.
func (gossiper *Gossiper) Claim(reader string, claim scheduler.Claim) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.to(reader, false)
	update.Claims = append(update.Claims, linker.Claim{
		Target: claim.Target, Task: claim.Run.Task, Attempt: claim.Run.Attempt,
		MilliCores: claim.Resources.MilliCores, MemoryMB: claim.Resources.MemoryMB, Accelerators: claim.Resources.Accelerators,
		EstimateMS: claim.Estimate.Milliseconds(),
	})
}

// Withdraw tells the reader of a target that a run does not occupy it.
func (gossiper *Gossiper) Withdraw(reader, target string, run scheduler.Run) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.to(reader, false)
	update.Withdrawn = append(update.Withdrawn, linker.RunID{Target: target, Task: run.Task, Attempt: run.Attempt})
}

// RelayStop asks the reader of a target to stop a run.
func (gossiper *Gossiper) RelayStop(reader, target string, run scheduler.Run) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.to(reader, true)
	update.Stops = append(update.Stops, linker.RunID{Target: target, Task: run.Task, Attempt: run.Attempt})
}

// SendRunEnd tells the owner of a run of its end, at once, since a caller waits for it.
func (gossiper *Gossiper) SendRunEnd(owner, target string, end scheduler.End) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.to(owner, true)
	update.Ends = append(update.Ends, linker.RunEnd{
		Target: target, Task: end.Run.Task, Attempt: end.Run.Attempt, Number: end.Seq, Cause: int64(end.Cause),
	})
}

// Abandon tells the instance that runs a job for this one that its caller needs it no more.
func (gossiper *Gossiper) Abandon(delegate, job string) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.to(delegate, true)
	update.Abandoned = append(update.Abandoned, job)
}

// Call sends a request to an instance and returns the response; see linker.Linker.Call.
func (gossiper *Gossiper) Call(ctx context.Context, incarnation string, request linker.Request) (linker.Response, error) {
	links := gossiper.linked()
	if links == nil {
		return nil, linker.ErrNoLink
	}
	return links.Call(ctx, incarnation, request)
}

// AnswerDelegation sends the outcome of a delegated job to the instance that asked for it; if that fails, the link has ended and
// the instance no longer waits.
func (gossiper *Gossiper) AnswerDelegation(incarnation string, answer linker.DelegationAnswer) error {
	links := gossiper.linked()
	if links == nil {
		return linker.ErrNoLink
	}
	return links.Send(incarnation, answer)
}

func (gossiper *Gossiper) linked() *linker.Linker {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.links
}

// Offer tells one instance at once of the room of a target.
func (gossiper *Gossiper) Offer(to, target string, room scheduler.Resources) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.to(to, true)
	update.FreeCapacity = append(update.FreeCapacity, newRoom(scheduler.CapacityReport{Target: target, FreeCapacity: room}))
}

// Report tells all instances of the room of a target.
func (gossiper *Gossiper) Report(report scheduler.CapacityReport) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.reports[report.Target], gossiper.farReports[report.Target] = report, report
	poke(gossiper.changed)
}

// SetDemand tells all instances how many tasks wait, and whether this instance has any jobs of its own.
func (gossiper *Gossiper) SetDemand(demand scheduler.Demand, busy bool) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	// Only an instance that passes its jobs on is treated by whether it is busy.
	changed := demand != gossiper.demand || busy != gossiper.busy && gossiper.delegates
	gossiper.demand, gossiper.busy = demand, busy
	if changed {
		poke(gossiper.changed)
	}
}

func newRoom(report scheduler.CapacityReport) linker.FreeCapacity {
	room := report.FreeCapacity
	return linker.FreeCapacity{
		Target: report.Target, MilliCores: room.MilliCores, MemoryMB: room.MemoryMB, Accelerators: room.Accelerators, Unreachable: report.Unreachable,
	}
}

func poke(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// sendDirect sends what concerns single instances.
func (gossiper *Gossiper) sendDirect(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gossiper.wake:
		}
		if !gossiper.isUrgent() {
			time.Sleep(flushTime)
		}
		gossiper.mu.Lock()
		direct, links := gossiper.direct, gossiper.links
		gossiper.direct, gossiper.urgent = make(map[string]*linker.StateUpdate, len(direct)), false
		gossiper.mu.Unlock()
		if links == nil {
			continue
		}
		for incarnation, update := range direct {
			// What cannot be sent is repeated: claims and abandoned jobs by their owner, and ends when a claim comes after
			// them.
			_ = links.Send(incarnation, *update)
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
	timer := time.NewTimer(heartbeatTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-gossiper.changed:
		}
		pause := gossiper.sendAll()
		gossiper.watch()
		timer.Reset(heartbeatTime)
		time.Sleep(pause)
	}
}

// sendAll sends what is due and returns the time to the next broadcast.
func (gossiper *Gossiper) sendAll() time.Duration {
	gossiper.mu.Lock()
	links := gossiper.links
	due := gossiper.due(gossiper.now())
	gossiper.mu.Unlock()
	if links != nil {
		for _, broadcast := range due.broadcasts {
			links.Broadcast(broadcast.to, broadcast.news)
		}
	}
	return due.pause
}

// broadcast is one message and the instances that get it.
type broadcast struct {
	to   []string
	news linker.StateUpdate
}

// dueNews is what is sent now, and the time to the next broadcast.
type dueNews struct {
	broadcasts []broadcast
	pause      time.Duration
}

// due returns what is to be sent at now: rooms to the own failure domain, less often to others, and heartbeats only to
// instances that pass their jobs on. Those that have jobs of their own all the same get the rooms too: the owner of a run
// has to know how long its lease may last. The caller holds the lock.
func (gossiper *Gossiper) due(now time.Time) dueNews {
	beatDue := now.Sub(gossiper.beaten) >= heartbeatTime
	var near, far, beats []string
	for incarnation, peer := range gossiper.peers {
		switch {
		case peer.delegates && (gossiper.delegates || !peer.busy):
			if beatDue && !gossiper.delegates {
				beats = append(beats, incarnation)
			}
		case peer.hello.Domain == gossiper.self.Domain:
			near = append(near, incarnation)
		default:
			far = append(far, incarnation)
		}
	}
	// However many instances there are, the others take one that is not heard of for some heartbeats to be gone.
	pause := min(max(minReportTime, reportTimePerPeer*time.Duration(farTimes*len(near)+len(far))/farTimes), heartbeatTime)
	due := dueNews{pause: pause}
	update := linker.StateUpdate{Waiting: append([]int64(nil), gossiper.demand[:]...), Leaving: gossiper.leaving, Busy: gossiper.busy}
	if len(beats) > 0 {
		due.broadcasts = append(due.broadcasts, broadcast{beats, update})
	}
	if beatDue {
		gossiper.beaten = now
	}
	if farDue := now.Sub(gossiper.farSent) >= (farTimes-1)*pause; farDue || beatDue {
		gossiper.farSent = now
		if len(far) > 0 {
			due.broadcasts = append(due.broadcasts, broadcast{far, withRooms(update, gossiper.farReports)})
		}
		clear(gossiper.farReports)
	}
	if len(near) > 0 {
		due.broadcasts = append(due.broadcasts, broadcast{near, withRooms(update, gossiper.reports)})
	}
	clear(gossiper.reports)
	return due
}

func withRooms(update linker.StateUpdate, reports map[string]scheduler.CapacityReport) linker.StateUpdate {
	for _, report := range reports {
		update.FreeCapacity = append(update.FreeCapacity, newRoom(report))
	}
	return update
}

// watch finds the peers that are not heard of any more.
func (gossiper *Gossiper) watch() {
	now := gossiper.now()
	var lost []string
	links := gossiper.linked()
	gossiper.mu.Lock()
	if now.Sub(gossiper.ticked) > heartbeatTime+pauseTime {
		// This instance stood still, so that the silence says nothing of the others.
		for _, peer := range gossiper.peers {
			peer.heard = now
		}
	}
	gossiper.ticked = now
	for incarnation, peer := range gossiper.peers {
		if gossiper.delegates && peer.delegates && links != nil && links.Connected(incarnation) {
			// It sends nothing to this instance, and nothing depends on how soon its loss is known.
			continue
		}
		if !peer.gone && now.Sub(peer.heard) > PeerTimeout {
			peer.gone = true
			lost = append(lost, incarnation)
		}
		if now.Sub(peer.heard) > forgetTime {
			delete(gossiper.peers, incarnation)
		}
	}
	if len(lost) > 0 {
		gossiper.share()
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
	case linker.StateUpdate:
		gossiper.hear(from, message)
		gossiper.receiver.HandleStateUpdate(from.Incarnation, message)
	case linker.Delegation:
		gossiper.hear(from, linker.StateUpdate{})
		gossiper.receiver.HandleDelegation(from.Incarnation, message)
	default:
		gossiper.hear(from, linker.StateUpdate{})
	}
}

// hear notes that an instance was heard of; only broadcast news, which name the waiting tasks, tell its state.
func (gossiper *Gossiper) hear(from linker.Hello, update linker.StateUpdate) {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	known, ok := gossiper.peers[from.Incarnation]
	if !ok {
		known = &peer{hello: from}
		gossiper.peers[from.Incarnation] = known
	}
	leaving := known.leaving
	if len(update.Waiting) > 0 {
		leaving, known.busy = update.Leaving, update.Busy
	}
	changed := !ok || known.gone || leaving != known.leaving
	known.heard, known.gone, known.leaving = now, false, leaving
	if changed {
		gossiper.share()
	}
}

// SilentDomains returns the other failure domains with instances that stay, and whether none of them was heard of for a time.
func (gossiper *Gossiper) SilentDomains(duration time.Duration) map[string]bool {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	silent := make(map[string]bool)
	for _, peer := range gossiper.peers {
		if peer.leaving || peer.delegates && gossiper.delegates {
			continue
		}
		quiet := now.Sub(peer.heard) > duration
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
	return ok && !peer.gone
}

// Reachable reports whether news can be sent to the instance now.
func (gossiper *Gossiper) Reachable(incarnation string) bool {
	links := gossiper.linked()
	return links != nil && links.Connected(incarnation)
}

// PeersVersion returns a number that rises with each change of what Staying returns.
func (gossiper *Gossiper) PeersVersion() int64 {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.version
}

// EligiblePeers returns the hellos of the instances that are heard of, do not leave and do not pass their jobs on.
func (gossiper *Gossiper) EligiblePeers() []linker.Hello {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	var staying []linker.Hello
	for _, peer := range gossiper.peers {
		if !peer.gone && !peer.leaving && !peer.delegates {
			staying = append(staying, peer.hello)
		}
	}
	return staying
}
