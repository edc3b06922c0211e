package gossiper

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/apportioner"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sounder"
)

const (
	// flushDelay is how long a claim waits for further ones to share its frame.
	flushDelay = 2 * time.Millisecond
	// broadcastIntervalPerPeer is multiplied by the number of peers to get the time between two broadcasts; a peer in
	// another failure domain counts as 1/remoteIntervalFactor. An instance thus receives about one frame in this time
	// from all peers together, however many there are.
	broadcastIntervalPerPeer = 2400 * time.Microsecond
	// fullRateWeight is the weight from which an instance broadcasts at the full rate. A smaller one broadcasts less
	// often in proportion, so that reports take the same share of its processor and link.
	fullRateWeight = 0.4
	// remoteIntervalFactor is how many times less often instances of other failure domains receive reports; they use
	// these targets only when their own are full or much slower.
	remoteIntervalFactor = 3
	// minBroadcastInterval is the minimum time between two broadcasts.
	minBroadcastInterval = 4 * time.Millisecond
	// heartbeatInterval is the maximum time between two messages to a peer.
	heartbeatInterval = 120 * time.Millisecond
	// PeerTimeout is how long an instance may send nothing before it is considered lost: four heartbeats. Its runs are
	// then stopped, well before its callers send their jobs again.
	PeerTimeout = 500 * time.Millisecond
	// unreadTimeout is how long an instance may be silent if this one has not read what has arrived since. Runs of a lost
	// instance must have ended when its callers send their jobs again, after 1,300 ms, and it takes 330 ms to stop them.
	unreadTimeout = 900 * time.Millisecond
	// resumeTimeout is how long an instance may send nothing after a pause of this process: two heartbeats.
	resumeTimeout = 250 * time.Millisecond
	// pauseThreshold is the delay of a heartbeat that indicates that this process was paused.
	pauseThreshold = 300 * time.Millisecond
	// forgetTimeout is how long after its last message an instance is removed.
	forgetTimeout = time.Minute
)

// Receiver handles messages and losses of other instances.
type Receiver interface {
	// HandleStateUpdate handles a state update from another instance.
	HandleStateUpdate(from string, update linker.StateUpdate)
	// PeerLost is called when an instance is considered lost.
	PeerLost(from string, evidence *LossEvidence)
	// PeerResponds is called when an instance that was considered lost for the given time has sent a message.
	PeerResponds(from string, lostFor time.Duration)
	// HandleDelegation runs a job for another instance. delay is how long the message was under way, for example because
	// this process was paused. It must not block.
	HandleDelegation(from string, delegation linker.Delegation, delay time.Duration)
	// LinkEnded is called when a link to an instance has ended; another link may still be up.
	LinkEnded(from string)
	// PeerConnected is called with the first message of an instance, and with the next one after a link to it has ended
	// or it was considered lost. The instance may have missed messages before.
	PeerConnected(from string)
}

// peer is the state of another instance.
type peer struct {
	hello linker.Hello
	// lastHeard is when the last message was handled, or later if silence until then is no evidence of a loss.
	lastHeard time.Time
	// handledAt is when the last message was handled.
	handledAt time.Time
	// contactSince is when the present contact began; zero before the first one.
	contactSince time.Time
	lostAt       time.Time
	// endedAt is when the last link to the instance ended, and endCause why; zero if none has ended.
	endedAt  time.Time
	endCause string
	// startedAt is when the instance started, or zero if unknown.
	startedAt time.Time
	leaving   bool
	lost      bool
	// linkEnded means that a link to the instance has ended since its last message.
	linkEnded bool
	// delegating means that the instance delegates its jobs. Two delegating instances send each other nothing.
	delegating bool
	// busy means that a delegating instance still owns jobs, such as jobs that it accepted before it discovered its
	// peers.
	busy bool
	// transit measures how long messages of the instance are under way.
	transit transit
	// sharedJobs counts the jobs that one of the two instances currently runs for the other one.
	sharedJobs int
	// stopAnnounced means that the instance has been sent the planned stop of this one on the present link.
	stopAnnounced bool
}

// Gossiper sends and receives messages between instances.
type Gossiper struct {
	self     linker.Hello
	links    *linker.Linker
	receiver Receiver
	now      func() time.Time
	logger   hclog.Logger
	traffic  traffic
	group    sync.WaitGroup
	cancel   context.CancelFunc
	// wake triggers sending the outbox, and changed triggers a broadcast.
	wake    chan struct{}
	changed chan struct{}

	// startedAt is when this instance started.
	startedAt time.Time

	mu sync.Mutex
	// sounder is nil without links, or if it could not be created.
	sounder *sounder.Sounder
	// readUntil returns the time up to which this instance has read everything that had arrived.
	readUntil func() time.Time
	// joining counts the live instances, including this one, that are joining.
	joining int
	// outbox holds the pending state updates to single instances; urgent means that they are sent without flushDelay.
	outbox map[string]*linker.StateUpdate
	urgent bool
	// reports and demand go into the next broadcast.
	reports map[string]scheduler.CapacityReport
	// remoteReports go into the next broadcast to other failure domains; remoteSentAt is when the last one was sent.
	remoteReports map[string]scheduler.CapacityReport
	remoteSentAt  time.Time
	// reachabilityReports go into the next heartbeat: reports of targets that have become unreachable, or reachable again.
	// unreachable holds the targets that were last reported as unreachable.
	reachabilityReports map[string]scheduler.CapacityReport
	unreachable         map[string]bool
	// activeJobs and remoteActiveJobs go into the next broadcasts to the own failure domain and to others.
	activeJobs, remoteActiveJobs []uint64
	demand                       scheduler.Demand
	busy                         bool
	// busyAnnouncedUntil is until when the end of busy is announced to all peers.
	busyAnnouncedUntil time.Time
	leaving            bool
	checkedAt          time.Time
	peers              map[string]*peer
	// delegating means that this instance delegates its jobs, by apportionment.
	delegating    bool
	apportionment apportioner.Plan
	// targetConnections is how many connections each target accepts from all instances together; 0 if unknown.
	targetConnections int
	// evacuationVersion is the highest version of an evacuation's record that this instance knows.
	evacuationVersion int64
	// heartbeatSentAt is when heartbeats were last sent to all peers; zero makes them due at once.
	heartbeatSentAt time.Time
	// peersVersion counts the changes of assigned.
	peersVersion int64
	assigned     assignment
}

// New returns a gossiper for the instance self that passes messages to receiver; now returns the current time.
func New(self linker.Hello, receiver Receiver, now func() time.Time, logger hclog.Logger) *Gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	gossiper := &Gossiper{
		self:                self,
		receiver:            receiver,
		now:                 now,
		readUntil:           now,
		logger:              logger,
		traffic:             newTraffic(),
		startedAt:           now(),
		cancel:              cancel,
		wake:                make(chan struct{}, 1),
		changed:             make(chan struct{}, 1),
		outbox:              make(map[string]*linker.StateUpdate),
		reports:             make(map[string]scheduler.CapacityReport),
		remoteReports:       make(map[string]scheduler.CapacityReport),
		reachabilityReports: make(map[string]scheduler.CapacityReport),
		unreachable:         make(map[string]bool),
		checkedAt:           now(),
		peers:               make(map[string]*peer),
	}
	gossiper.updateRoles()
	gossiper.group.Go(func() { gossiper.sendOutbox(ctx) })
	gossiper.group.Go(func() { gossiper.sendBroadcasts(ctx) })
	return gossiper
}

// SetLinks sets the links to send on. It is called once, before any peer is known.
func (gossiper *Gossiper) SetLinks(links *linker.Linker) {
	created, err := sounder.New(gossiper.now, gossiper.detectLostPeers)
	if err != nil {
		gossiper.logger.Error("cannot measure how late messages are read", "error", eris.ToString(err, false))
	}
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.links = links
	if err == nil {
		gossiper.sounder, gossiper.readUntil = created, created.ReadUntil
	}
}

// Close stops sending.
func (gossiper *Gossiper) Close() {
	gossiper.cancel()
	gossiper.group.Wait()
	if sounder := gossiper.currentSounder(); sounder != nil {
		sounder.Close()
	}
}

func (gossiper *Gossiper) currentSounder() *sounder.Sounder {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.sounder
}

// Leave announces to the other instances that this one has begun a planned stop.
func (gossiper *Gossiper) Leave() {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.leaving, gossiper.heartbeatSentAt = true, time.Time{}
	notify(gossiper.changed)
}

// announceStop schedules the announcement of a planned stop, if one has begun, to an instance with a new link.
func (gossiper *Gossiper) announceStop(incarnation string) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[incarnation]; ok && gossiper.leaving {
		peer.stopAnnounced = false
		notify(gossiper.changed)
	}
}

// updateFor returns the pending state update to an instance, to be extended by the caller, and schedules its sending;
// the caller holds the lock.
func (gossiper *Gossiper) updateFor(incarnation string, urgent bool) *linker.StateUpdate {
	update, ok := gossiper.outbox[incarnation]
	if !ok {
		update = &linker.StateUpdate{}
		gossiper.outbox[incarnation] = update
	}
	gossiper.urgent = gossiper.urgent || urgent
	notify(gossiper.wake)
	return update
}

// Claim sends a claim to the reader of its target.
func (gossiper *Gossiper) Claim(reader string, claim scheduler.Claim) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(reader, false)
	update.Claims = append(update.Claims, encodeClaim(claim))
}

func encodeClaim(claim scheduler.Claim) linker.Claim {
	return linker.Claim{
		Target: claim.Target, Task: claim.Run.Task, Attempt: claim.Run.Attempt,
		MilliCores: claim.Resources.MilliCores, MemoryMB: claim.Resources.MemoryMB, Accelerators: claim.Resources.Accelerators,
		EstimateMS: claim.Estimate.Milliseconds(), Incarnation: claim.Incarnation, AgeMS: claim.Age.Milliseconds(),
	}
}

// Withdraw withdraws the claim of a run at the reader of the target, because the run does not occupy the target.
func (gossiper *Gossiper) Withdraw(reader, target string, run scheduler.Run) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(reader, false)
	update.Withdrawn = append(update.Withdrawn, linker.RunID{Target: target, Task: run.Task, Attempt: run.Attempt})
}

// RelayStop asks the reader of a target to stop a run.
func (gossiper *Gossiper) RelayStop(reader, target string, run scheduler.Run) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(reader, true)
	update.Stops = append(update.Stops, linker.RunID{Target: target, Task: run.Task, Attempt: run.Attempt})
}

// BroadcastSuspension asks all instances without delay to suspend the renewals of a target's lease, or to resume them.
func (gossiper *Gossiper) BroadcastSuspension(suspension scheduler.Suspension) {
	encoded := encodeSuspension(suspension, gossiper.now())
	gossiper.updateAll(linker.RevisionOwnership, func(update *linker.StateUpdate) { update.Suspensions = append(update.Suspensions, encoded) })
}

// AnnounceLeaseEnd sends the end of a target's lease without delay to an instance that owns runs there.
func (gossiper *Gossiper) AnnounceLeaseEnd(to, target string, end time.Time) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[to]; ok && peer.hello.Revision >= linker.RevisionLeases {
		update := gossiper.updateFor(to, true)
		update.LeaseEnds = append(update.LeaseEnds, linker.LeaseEnd{Target: target, RemainingMS: max(0, end.Sub(gossiper.now()).Milliseconds()+1)})
	}
}

// QueryOwner asks an instance without delay whether it owns a run.
func (gossiper *Gossiper) QueryOwner(to string, run scheduler.OwnedRun) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[to]; ok && peer.hello.Revision >= linker.RevisionOwnership {
		update := gossiper.updateFor(to, true)
		update.Queries = append(update.Queries, encodeOwnedRun(run))
	}
}

// Disown answers without delay that this instance does not own a run.
func (gossiper *Gossiper) Disown(to string, run scheduler.OwnedRun) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(to, true)
	update.Disowned = append(update.Disowned, encodeOwnedRun(run))
}

func encodeOwnedRun(run scheduler.OwnedRun) linker.OwnedRun {
	return linker.OwnedRun{Target: run.Target, Incarnation: run.Incarnation, Task: run.Run.Task, Attempt: run.Run.Attempt}
}

// Answering returns the live instances that answer queries for the owner of a run.
func (gossiper *Gossiper) Answering() scheduler.Peers {
	links := gossiper.currentLinks()
	now := gossiper.now()
	answering := scheduler.Peers{Complete: links != nil && links.MembersSettled(PeerTimeout)}
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	for incarnation, peer := range gossiper.peers {
		switch {
		case peer.lost:
		case peer.hello.Revision >= linker.RevisionOwnership:
			answering.Unaware = answering.Unaware || peer.hello.Revision < linker.RevisionEvacuations
			answering.Answering = append(answering.Answering, incarnation)
		default:
			answering.Complete, answering.Unaware = false, true
		}
		if !peer.lost && gossiper.startsRuns(peer, now) {
			answering.Starting = append(answering.Starting, incarnation)
		}
	}
	return answering
}

// StartsRuns reports whether an instance is in contact with this one and starts runs.
func (gossiper *Gossiper) StartsRuns(incarnation string) bool {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	peer, ok := gossiper.peers[incarnation]
	return ok && gossiper.startsRuns(peer, now)
}

// startsRuns reports whether an instance that broadcasts to this one starts runs: one that delegates its jobs does not, unless
// it still owns some. The caller holds the lock.
func (gossiper *Gossiper) startsRuns(peer *peer, now time.Time) bool {
	return (!peer.delegating || peer.busy) && gossiper.inContact(peer, now)
}

// SendSuspension asks an instance without delay to suspend the renewals of a target's lease.
func (gossiper *Gossiper) SendSuspension(to string, suspension scheduler.Suspension) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[to]; ok && peer.hello.Revision >= linker.RevisionOwnership {
		update := gossiper.updateFor(to, true)
		update.Suspensions = append(update.Suspensions, encodeSuspension(suspension, gossiper.now()))
	}
}

func encodeSuspension(suspension scheduler.Suspension, now time.Time) linker.Suspension {
	encoded := linker.Suspension{
		Target: suspension.Target, Incarnation: suspension.Incarnation, Task: suspension.Run.Task, Attempt: suspension.Run.Attempt,
	}
	if !suspension.Until.IsZero() {
		encoded.RemainingMS = max(1, suspension.Until.Sub(now).Milliseconds())
	}
	return encoded
}

// SendRunEnd sends the end of a run to its owner without delay, since a caller waits for it.
func (gossiper *Gossiper) SendRunEnd(owner, target string, end scheduler.End) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(owner, true)
	update.Ends = append(update.Ends, linker.RunEnd{
		Target: target, Task: end.Run.Task, Attempt: end.Run.Attempt, Number: end.Seq, Cause: int64(end.Cause),
	})
	if peer, ok := gossiper.peers[owner]; ok && peer.hello.Revision >= linker.RevisionOwnership {
		update.EndOrigins = append(update.EndOrigins, linker.EndOrigin{Incarnation: end.Incarnation, AgeMS: end.Age.Milliseconds()})
	}
}

// Abandon asks the delegate, which runs a job for this instance, to abandon it.
func (gossiper *Gossiper) Abandon(delegate, job string) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(delegate, true)
	update.Abandoned = append(update.Abandoned, job)
}

// Call sends a request to an instance and returns the response; see linker.Linker.Call.
func (gossiper *Gossiper) Call(ctx context.Context, incarnation string, request linker.Request) (linker.Response, error) {
	links := gossiper.currentLinks()
	if links == nil {
		return nil, linker.ErrNoLink
	}
	gossiper.countSharedJob(incarnation, 1)
	defer gossiper.countSharedJob(incarnation, -1)
	response, err := links.Call(ctx, incarnation, request)
	if err == nil {
		gossiper.recordAnswer(incarnation)
	}
	return response, err
}

// recordAnswer records that an instance has answered a request. Links do not pass answers on as messages.
func (gossiper *Gossiper) recordAnswer(incarnation string) {
	gossiper.mu.Lock()
	peer, ok := gossiper.peers[incarnation]
	var from linker.Hello
	if ok {
		from = peer.hello
	}
	gossiper.mu.Unlock()
	if ok {
		gossiper.recordContact(from, linker.StateUpdate{})
	}
}

// countSharedJob counts a job that this instance runs for another one, or the other way round.
func (gossiper *Gossiper) countSharedJob(incarnation string, change int) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[incarnation]; ok {
		now := gossiper.now()
		before := gossiper.expectsMessages(peer, now)
		peer.sharedJobs = max(0, peer.sharedJobs+change)
		gossiper.beginContact(peer, before, now)
	}
}

// AnswerDelegation sends the outcome of a delegated job to its origin. If that fails, the link has ended and the origin
// no longer waits.
func (gossiper *Gossiper) AnswerDelegation(incarnation string, answer linker.DelegationAnswer) error {
	gossiper.countSharedJob(incarnation, -1)
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

// SendReport sends a report about a target to one instance without delay.
func (gossiper *Gossiper) SendReport(to string, report scheduler.CapacityReport) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(to, true)
	update.FreeCapacity = append(update.FreeCapacity, encodeReport(report))
	if peer, ok := gossiper.peers[to]; ok && peer.hello.Revision >= linker.RevisionReports {
		update.ReportedIncarnations = append(update.ReportedIncarnations, report.Incarnation)
	}
}

// Report broadcasts the free capacity of a target.
func (gossiper *Gossiper) Report(report scheduler.CapacityReport) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.reports[report.Target], gossiper.remoteReports[report.Target] = report, report
	if report.Unreachable != gossiper.unreachable[report.Target] {
		gossiper.reachabilityReports[report.Target] = report
	}
	if report.Unreachable {
		gossiper.unreachable[report.Target] = true
	} else {
		delete(gossiper.unreachable, report.Target)
	}
	notify(gossiper.changed)
}

// SetDemand sets the broadcast number of waiting tasks, and whether this instance has active jobs of its own.
func (gossiper *Gossiper) SetDemand(demand scheduler.Demand, busy bool) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	// Peers use busy only if this instance delegates its jobs.
	changed := demand != gossiper.demand || busy != gossiper.busy && gossiper.delegating
	gossiper.demand = demand
	if busy != gossiper.busy {
		gossiper.changeContacts(func() {
			gossiper.busy = busy
			gossiper.busyAnnouncedUntil = gossiper.now().Add(busyAnnouncementPeriod)
		})
		for _, peer := range gossiper.peers {
			// What others expect of a leaving instance depends on whether it is busy.
			peer.stopAnnounced = false
		}
	}
	if changed {
		notify(gossiper.changed)
	}
}

func encodeReport(report scheduler.CapacityReport) linker.FreeCapacity {
	free := report.FreeCapacity
	return linker.FreeCapacity{
		Target: report.Target, MilliCores: free.MilliCores, MemoryMB: free.MemoryMB, Accelerators: free.Accelerators, Unreachable: report.Unreachable,
	}
}

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// sendOutbox sends the state updates to single instances until ctx is done.
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
		gossiper.outbox, gossiper.urgent = make(map[string]*linker.StateUpdate, len(outbox)), false
		gossiper.mu.Unlock()
		if links == nil {
			continue
		}
		sentUS := gossiper.now().UnixMicro()
		for incarnation, update := range outbox {
			update.SentUS = sentUS
			// Lost messages are not resent here: owners repeat claims and requests to abandon jobs, and a claim that
			// arrives after the run's end is answered with the end.
			if links.Send(incarnation, *update) == nil {
				gossiper.traffic.record(update, 1)
			}
		}
	}
}

func (gossiper *Gossiper) isUrgent() bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.urgent
}

// sendBroadcasts sends reports and demand, or a heartbeat if there are no changes, until ctx is done.
func (gossiper *Gossiper) sendBroadcasts(ctx context.Context) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-gossiper.changed:
		}
		pause := gossiper.sendDueBroadcasts()
		if sounder := gossiper.currentSounder(); sounder != nil {
			sounder.Start()
		}
		gossiper.detectLostPeers()
		timer.Reset(heartbeatInterval)
		time.Sleep(pause)
	}
}

// sendDueBroadcasts sends the broadcasts that are due and returns the minimum time until the next ones.
func (gossiper *Gossiper) sendDueBroadcasts() time.Duration {
	gossiper.mu.Lock()
	links := gossiper.links
	plan := gossiper.plan(gossiper.now())
	gossiper.mu.Unlock()
	if links != nil {
		for _, broadcast := range plan.broadcasts {
			gossiper.traffic.record(&broadcast.update, links.Broadcast(broadcast.to, broadcast.update))
		}
	}
	return plan.pause
}

// broadcast is a state update and its recipients.
type broadcast struct {
	to     []string
	update linker.StateUpdate
}

// broadcastPlan holds the broadcasts that are due and the minimum time until the next ones.
type broadcastPlan struct {
	broadcasts []broadcast
	pause      time.Duration
}

// plan returns the broadcasts that are due at now: reports to the same failure domain, less often to other domains, and
// only heartbeats to delegating instances. Busy delegating instances get the reports too, since the owner of a run
// needs them to determine how long its lease may last. Instances that are not in contact receive only the announcement
// of a planned stop, from a delegating instance once on each link. The caller holds the lock.
func (gossiper *Gossiper) plan(now time.Time) broadcastPlan {
	heartbeatDue := now.Sub(gossiper.heartbeatSentAt) >= heartbeatInterval
	var sameDomain, otherDomains, heartbeats []string
	for incarnation, peer := range gossiper.peers {
		switch {
		case !gossiper.inContact(peer, now) && !(gossiper.leaving && !gossiper.delegating):
			if gossiper.leaving && !peer.stopAnnounced {
				peer.stopAnnounced = true
				heartbeats = append(heartbeats, incarnation)
			}
		case peer.delegating && !peer.busy:
			if heartbeatDue {
				heartbeats = append(heartbeats, incarnation)
			}
		case peer.hello.Domain == gossiper.self.Domain:
			sameDomain = append(sameDomain, incarnation)
		default:
			otherDomains = append(otherDomains, incarnation)
		}
	}
	// Even with very many instances, the interval must not exceed a heartbeat, or the peers would consider this
	// instance lost.
	pause := min(max(minBroadcastInterval, gossiper.intervalPerPeer()*time.Duration(remoteIntervalFactor*len(sameDomain)+len(otherDomains))/remoteIntervalFactor), heartbeatInterval)
	if gossiper.delegating && !gossiper.busy {
		// This instance reads no targets and has no waiting tasks, so it has nothing to report.
		pause = heartbeatInterval
	}
	plan := broadcastPlan{pause: pause}
	update := linker.StateUpdate{Waiting: append([]int64(nil), gossiper.demand[:]...), Leaving: gossiper.leaving, Busy: gossiper.busy, SentUS: now.UnixMicro(), EvacuationVersion: gossiper.evacuationVersion}
	if len(heartbeats) > 0 {
		plan.broadcasts = append(plan.broadcasts, broadcast{heartbeats, withReports(update, gossiper.reachabilityReports)})
	}
	if heartbeatDue {
		clear(gossiper.reachabilityReports)
		gossiper.heartbeatSentAt = now
	}
	if remoteDue := now.Sub(gossiper.remoteSentAt) >= (remoteIntervalFactor-1)*pause; remoteDue || heartbeatDue {
		gossiper.remoteSentAt = now
		remoteUpdate := update
		remoteUpdate.ActiveJobs, gossiper.remoteActiveJobs = firstActiveJobs(gossiper.remoteActiveJobs)
		if len(otherDomains) > 0 {
			plan.broadcasts = append(plan.broadcasts, broadcast{otherDomains, withReports(remoteUpdate, gossiper.remoteReports)})
		}
		clear(gossiper.remoteReports)
	}
	update.ActiveJobs, gossiper.activeJobs = firstActiveJobs(gossiper.activeJobs)
	if len(sameDomain) > 0 {
		plan.broadcasts = append(plan.broadcasts, broadcast{sameDomain, withReports(update, gossiper.reports)})
	}
	clear(gossiper.reports)
	plan.broadcasts = gossiper.byRevision(plan.broadcasts)
	return plan
}

// intervalPerPeer returns the time that each peer adds to the time between two broadcasts.
func (gossiper *Gossiper) intervalPerPeer() time.Duration {
	return time.Duration(float64(broadcastIntervalPerPeer) * max(1, fullRateWeight/gossiper.self.EffectiveWeight()))
}

func withReports(update linker.StateUpdate, reports map[string]scheduler.CapacityReport) linker.StateUpdate {
	for _, report := range reports {
		update.FreeCapacity = append(update.FreeCapacity, encodeReport(report))
		update.ReportedIncarnations = append(update.ReportedIncarnations, report.Incarnation)
	}
	return update
}

// detectLostPeers reports the peers that have sent nothing for longer than PeerTimeout to the receiver. What this instance has
// not read yet may hold their messages.
func (gossiper *Gossiper) detectLostPeers() {
	now := gossiper.now()
	lost := make(map[string]*LossEvidence)
	links := gossiper.currentLinks()
	gossiper.mu.Lock()
	readUntil := gossiper.readUntil()
	previousCheck := gossiper.checkedAt
	if now.Sub(gossiper.checkedAt) > heartbeatInterval+pauseThreshold {
		// This process was paused, so missing messages do not indicate lost peers until what has waited has been read.
		for _, peer := range gossiper.peers {
			if heard := now.Add(resumeTimeout - PeerTimeout); peer.lastHeard.Before(heard) {
				peer.lastHeard = heard
			}
		}
	}
	gossiper.checkedAt = now
	for incarnation, peer := range gossiper.peers {
		if !gossiper.expectsMessages(peer, now) && links != nil && links.Connected(incarnation) {
			// The peer sends nothing to this instance, and nothing depends on detecting its loss quickly.
			continue
		}
		if !peer.lost && (readUntil.Sub(peer.lastHeard) > PeerTimeout || now.Sub(peer.lastHeard) > unreadTimeout) {
			lost[incarnation] = gossiper.lossEvidence(peer, links, previousCheck, readUntil, now)
			peer.lost, peer.lostAt = true, now
		}
		if now.Sub(peer.lastHeard) > forgetTimeout {
			delete(gossiper.peers, incarnation)
		}
	}
	if len(lost) > 0 || gossiper.countJoining(now) != gossiper.joining {
		gossiper.updateRoles()
	}
	gossiper.mu.Unlock()
	for incarnation, evidence := range lost {
		gossiper.receiver.PeerLost(incarnation, evidence)
	}
}

// Receive handles a message from a link.
func (gossiper *Gossiper) Receive(from linker.Hello, message linker.Message) {
	switch message := message.(type) {
	case linker.Hello:
		gossiper.recordContact(from, linker.StateUpdate{})
		gossiper.announceStop(from.Incarnation)
		gossiper.sendClock(from)
	case linker.LinkEnded:
		gossiper.recordLinkEnd(from.Incarnation, message.Cause)
		gossiper.receiver.LinkEnded(from.Incarnation)
	case linker.StateUpdate:
		gossiper.recordContact(from, message)
		gossiper.receiver.HandleStateUpdate(from.Incarnation, message)
	case linker.Delegation:
		gossiper.recordContact(from, linker.StateUpdate{})
		gossiper.countSharedJob(from.Incarnation, 1)
		gossiper.receiver.HandleDelegation(from.Incarnation, message, gossiper.DelayOf(from.Incarnation, message.SentUS))
	default:
		gossiper.recordContact(from, linker.StateUpdate{})
	}
}

// sendClock sends an instance of another failure domain, to which this one may delegate jobs, a message from which it learns how
// the clocks differ. Without contact, nothing else would tell it that the first delegated job was held up.
func (gossiper *Gossiper) sendClock(to linker.Hello) {
	if to.Domain == gossiper.self.Domain || to.EffectiveWeight() < gossiper.self.EffectiveWeight() {
		return
	}
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.updateFor(to.Incarnation, false)
}

// recordContact records that a message from an instance has arrived. Only broadcasts carry the state of the sender;
// they are recognized by their Waiting field, which is never empty.
func (gossiper *Gossiper) recordContact(from linker.Hello, update linker.StateUpdate) {
	mayHaveMissed, lostFor := gossiper.updatePeer(from, update)
	if lostFor > 0 {
		gossiper.receiver.PeerResponds(from.Incarnation, lostFor)
	}
	if mayHaveMissed {
		gossiper.receiver.PeerConnected(from.Incarnation)
	}
}

// recordLinkEnd records that messages to an instance may have been lost with a link.
func (gossiper *Gossiper) recordLinkEnd(incarnation, cause string) {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[incarnation]; ok {
		peer.linkEnded, peer.endedAt, peer.endCause = true, now, cause
		peer.stopAnnounced = false
	}
}

// updatePeer updates the state of an instance, and reports whether it may have missed messages and for how long it was
// considered lost until now.
func (gossiper *Gossiper) updatePeer(from linker.Hello, update linker.StateUpdate) (mayHaveMissed bool, lostFor time.Duration) {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	known, ok := gossiper.peers[from.Incarnation]
	if !ok {
		known = &peer{hello: from, startedAt: startOf(from, now)}
		gossiper.peers[from.Incarnation] = known
	}
	leaving, wasBusy := known.leaving, known.busy
	if len(update.Waiting) > 0 {
		leaving, known.busy = update.Leaving, update.Busy
	}
	known.transit.record(update.SentUS, now)
	// A delegating instance gets no reports while it owns no jobs.
	becameBusy := known.busy && !wasBusy && known.delegating
	mayHaveMissed = !ok || known.lost || known.linkEnded || becameBusy
	changed := !ok || known.lost || leaving != known.leaving
	if known.lost {
		lostFor = max(1, now.Sub(known.lostAt))
	}
	known.lastHeard, known.handledAt, known.lost, known.leaving, known.linkEnded = now, now, false, leaving, false
	if changed {
		gossiper.updateRoles()
	}
	return mayHaveMissed, lostFor
}

// DelayOf returns how much longer than usual a message of an instance was under way; 0 if unknown.
func (gossiper *Gossiper) DelayOf(incarnation string, sentUS int64) time.Duration {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[incarnation]; ok {
		return peer.transit.delay(sentUS, now)
	}
	return 0
}

// KnewDelayOf reports whether the delay of an instance's messages has been measured since before the given time.
func (gossiper *Gossiper) KnewDelayOf(incarnation string, at time.Time) bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	peer, ok := gossiper.peers[incarnation]
	return ok && peer.transit.knownAt(at)
}

// UnresponsiveDomains returns, for each failure domain with peers that are not leaving, whether none of them has sent
// anything for longer than duration. Peers that are not in contact with this instance are left out.
func (gossiper *Gossiper) UnresponsiveDomains(duration time.Duration) map[string]bool {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	unresponsive := make(map[string]bool)
	for _, peer := range gossiper.peers {
		if peer.leaving || !gossiper.inContact(peer, now) {
			continue
		}
		peerUnresponsive := now.Sub(peer.lastHeard) > duration
		known, ok := unresponsive[peer.hello.Domain]
		unresponsive[peer.hello.Domain] = peerUnresponsive && (known || !ok)
	}
	return unresponsive
}

// Live returns the instances that are known and not considered lost.
func (gossiper *Gossiper) Live() []string {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	var live []string
	for incarnation, peer := range gossiper.peers {
		if !peer.lost {
			live = append(live, incarnation)
		}
	}
	return live
}

// Alive reports whether the instance is known and not considered lost.
func (gossiper *Gossiper) Alive(incarnation string) bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	peer, ok := gossiper.peers[incarnation]
	return ok && !peer.lost
}

// Reachable reports whether a message can be sent to the instance now.
func (gossiper *Gossiper) Reachable(incarnation string) bool {
	links := gossiper.currentLinks()
	return links != nil && links.Connected(incarnation)
}

// PeersVersion returns a number that grows with each change of the result of EligiblePeers, of whether this instance delegates its
// jobs or is joining, and of how many instances use each target.
func (gossiper *Gossiper) PeersVersion() int64 {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peersVersion
}

// EligiblePeers returns the instances that can be readers and delegates: those that are alive, are neither joining nor
// leaving and do not delegate their jobs.
func (gossiper *Gossiper) EligiblePeers() []linker.Hello {
	now := gossiper.now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	var eligible []linker.Hello
	for _, peer := range gossiper.peers {
		if gossiper.isEligible(peer, now) {
			eligible = append(eligible, peer.hello)
		}
	}
	return eligible
}
