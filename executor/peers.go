package executor

import (
	"math"
	"time"

	"github.com/hyssoplift/hyssoplift/gossiper"
	"github.com/hyssoplift/hyssoplift/isolator"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

// HandleStateUpdate processes a state update from another instance.
func (executor *Executor) HandleStateUpdate(from string, update linker.StateUpdate) {
	now := executor.now()
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.noticePause(now)
	// A claim in the same update is newer.
	for _, run := range update.Disowned {
		executor.scheduler.HandlePeerDisowned(from, decodeOwnedRun(run), now)
	}
	// Messages are held up while the network is cut.
	delay := executor.peers.DelayOf(from, update.SentUS)
	executor.handleEvacuations(from, &update, delay, now)
	for _, claim := range update.Claims {
		executor.handleClaim(from, claim, delay, now)
	}
	executor.handleReservations(from, &update, delay, now)
	for _, run := range update.Queries {
		executor.answerQuery(from, decodeOwnedRun(run), now)
	}
	for _, id := range update.Withdrawn {
		// Another owner may have claimed a run with the same attempt number since, for a later submission of the job.
		if run := runOf(id); executor.scheduler.Owner(id.Target, run) == from {
			executor.scheduler.HandlePeerWithdrawal(id.Target, run, now)
		}
	}
	for _, id := range update.Stops {
		executor.scheduler.HandlePeerStop(from, id.Target, runOf(id))
	}
	for _, lease := range update.LeaseEnds {
		executor.scheduler.HandlePeerLeaseEnd(from, lease.Target, now.Add(milliseconds(lease.RemainingMS)))
	}
	for _, suspension := range update.Suspensions {
		executor.scheduler.HandlePeerSuspension(from, decodeSuspension(suspension, now), now)
	}
	for _, report := range decodeReports(from, &update) {
		executor.scheduler.HandlePeerReport(report, now)
		if report.Unreachable {
			executor.wake(report.Target)
		}
	}
	if len(update.Waiting) > 0 {
		executor.scheduler.RecordBroadcast(from, now.Add(-delay))
		var demand scheduler.Demand
		copy(demand[:], update.Waiting)
		executor.scheduler.HandlePeerDemand(from, demand)
	}
	for i, end := range decodeEnds(&update, delay) {
		executor.logEnd(update.Ends[i].Target, end, executor.self.Incarnation)
		executor.scheduler.HandleEnd(update.Ends[i].Target, end, now)
	}
	for i := range update.Losses {
		executor.scheduler.HandlePeerLoss(decodeLoss(&update.Losses[i], now), now)
		executor.wake(update.Losses[i].Target)
	}
	for _, responding := range update.Responding {
		executor.scheduler.HandlePeerWithdrawnLoss(responding.Target, responding.Incarnation, now)
	}
	for _, restarted := range update.Restarts {
		executor.scheduler.HandlePeerRestart(restarted.Target, restarted.Incarnation, now)
		executor.wake(restarted.Target)
	}
	for _, verified := range update.Verified {
		executor.scheduler.HandlePeerVerification(verified.Target, verified.Incarnation, now)
		executor.wake(verified.Target)
	}
	executor.handleCancellations(from, &update, now)
	executor.handleActiveJobs(from, &update, now.Add(-delay))
	for _, job := range update.Abandoned {
		executor.abandonForeign(from, job)
	}
	executor.scheduler.Place(now)
	executor.runActions()
}

// decodeReports decodes the reports of an update.
func decodeReports(from string, update *linker.StateUpdate) []scheduler.CapacityReport {
	reports := make([]scheduler.CapacityReport, len(update.FreeCapacity))
	for i, free := range update.FreeCapacity {
		resources := scheduler.Resources{MilliCores: free.MilliCores, MemoryMB: free.MemoryMB, Accelerators: free.Accelerators}
		reports[i] = scheduler.CapacityReport{Target: free.Target, Reporter: from, FreeCapacity: resources, Unreachable: free.Unreachable}
		if len(update.ReportedIncarnations) == len(reports) {
			reports[i].Incarnation = update.ReportedIncarnations[i]
		}
	}
	return reports
}

// decodeEnds decodes the run ends of an update that was delayed.
func decodeEnds(update *linker.StateUpdate, delay time.Duration) []scheduler.End {
	ends := make([]scheduler.End, len(update.Ends))
	for i := range update.Ends {
		end := &update.Ends[i]
		ends[i] = scheduler.End{Seq: end.Number, Run: scheduler.Run{Task: end.Task, Attempt: end.Attempt}, Cause: scheduler.Cause(end.Cause), Age: delay}
		if len(update.EndOrigins) == len(update.Ends) {
			ends[i].Incarnation = update.EndOrigins[i].Incarnation
			ends[i].Age += milliseconds(update.EndOrigins[i].AgeMS)
		}
	}
	return ends
}

// handleClaim records a claim of another instance that was delayed, or answers it with the run's end if that is already
// known.
func (executor *Executor) handleClaim(from string, claim linker.Claim, delay time.Duration, now time.Time) {
	if end, ended := executor.scheduler.HandlePeerClaim(from, decodeClaim(claim, delay), now); ended {
		executor.peers.SendRunEnd(from, claim.Target, end)
		return
	}
	executor.wake(claim.Target)
}

// decodeClaim decodes a claim of an update that was delayed.
func decodeClaim(claim linker.Claim, delay time.Duration) scheduler.Claim {
	return scheduler.Claim{
		Target:      claim.Target,
		Run:         scheduler.Run{Task: claim.Task, Attempt: claim.Attempt},
		Resources:   scheduler.Resources{MilliCores: claim.MilliCores, MemoryMB: claim.MemoryMB, Accelerators: claim.Accelerators},
		Estimate:    time.Duration(claim.EstimateMS) * time.Millisecond,
		Incarnation: claim.Incarnation,
		Age:         milliseconds(claim.AgeMS) + delay,
	}
}

// answerQuery tells the reader of a target whether this instance owns a run there; the caller holds the lock.
func (executor *Executor) answerQuery(from string, run scheduler.OwnedRun, now time.Time) {
	if claim, owned := executor.scheduler.HandleOwnerQuery(run, now); owned {
		executor.peers.Claim(from, claim)
		return
	}
	executor.peers.Disown(from, run)
}

func decodeOwnedRun(run linker.OwnedRun) scheduler.OwnedRun {
	return scheduler.OwnedRun{Target: run.Target, Incarnation: run.Incarnation, Run: scheduler.Run{Task: run.Task, Attempt: run.Attempt}}
}

// decodeSuspension decodes a suspension; without a remaining time, it has ended.
func decodeSuspension(suspension linker.Suspension, now time.Time) scheduler.Suspension {
	decoded := scheduler.Suspension{
		Target: suspension.Target, Incarnation: suspension.Incarnation, Run: scheduler.Run{Task: suspension.Task, Attempt: suspension.Attempt},
	}
	if remaining := milliseconds(suspension.RemainingMS); remaining > 0 {
		decoded.Until = now.Add(min(remaining, scheduler.MaxSuspension))
	}
	return decoded
}

// decodeLoss decodes a loss that another instance recorded. Negative times count as zero.
func decodeLoss(loss *linker.Loss, now time.Time) isolator.Loss {
	decoded := isolator.Loss{
		Target: loss.Target, Incarnation: loss.Incarnation, Address: loss.Address, Evidence: isolator.Evidence(loss.Evidence), At: now.Add(-milliseconds(loss.AgeMS)), Observer: loss.Observer,
	}
	for _, run := range loss.Runs {
		decoded.Suspects = append(decoded.Suspects, isolator.Suspect{
			Task: run.Task, Attempt: run.Attempt, Route: run.Route, Age: milliseconds(run.AgeMS), Cleared: run.Cleared, Fate: decodeFate(run.Fate),
		})
	}
	return decoded
}

// decodeFate decodes a fate; an invalid one counts as a claim.
func decodeFate(fate int64) isolator.Fate {
	if decoded := isolator.Fate(fate); decoded >= isolator.Claimed && decoded <= isolator.Accepted {
		return decoded
	}
	return isolator.Claimed
}

// milliseconds converts a time of a message, clamped to between zero and an hour.
func milliseconds(count int64) time.Duration {
	return min(max(0, time.Duration(min(count, int64(time.Hour/time.Millisecond)))*time.Millisecond), time.Hour)
}

// PeerConnected sends the known losses, reports, suspensions, cancellations and active jobs to an instance that may have missed some.
func (executor *Executor) PeerConnected(from string) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	startsRuns := executor.peers.StartsRuns(from)
	for _, loss := range executor.scheduler.Losses() {
		executor.peers.SendLoss(from, &loss)
	}
	// Queries in a message are handled before its reports, which say that the targets have been looked at.
	for _, run := range executor.scheduler.UnownedRuns() {
		executor.peers.QueryOwner(from, run)
	}
	for _, report := range executor.scheduler.Reports(executor.now()) {
		if startsRuns || report.Unreachable {
			executor.peers.SendReport(from, report)
		}
	}
	for _, suspension := range executor.scheduler.Suspensions() {
		executor.peers.SendSuspension(from, suspension)
	}
	for _, cancellation := range executor.scheduler.Cancellations() {
		executor.peers.SendCancellation(from, cancellation)
	}
	executor.sendActiveJobs(from)
}

func runOf(id linker.RunID) scheduler.Run {
	return scheduler.Run{Task: id.Task, Attempt: id.Attempt}
}

// PeerLost handles the loss of another instance.
func (executor *Executor) PeerLost(from string, evidence *gossiper.LossEvidence) {
	executor.logger.Warn("instance is unresponsive", append([]any{"peer", from}, evidence.Fields()...)...)
	executor.meter.countLostInstance(evidence)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.cancellationsMissed = executor.cancellationsMissed || !evidence.PeerLeaving()
	executor.scheduler.RemovePeer(from)
	executor.abandonForeign(from, "")
	executor.handleDelegateLost(from)
	executor.runActions()
}

// PeerResponds logs that an instance was considered lost although it was running.
func (executor *Executor) PeerResponds(from string, lostFor time.Duration) {
	executor.logger.Warn("instance responds again", "peer", from, "lost-ms", lostFor.Milliseconds())
	executor.meter.returnedInstances.Inc()
}

// reader returns the incarnation of a target's reader; the caller holds the lock.
func (executor *Executor) reader(target string) string {
	if poller, ok := executor.pollers[target]; ok {
		return poller.reader
	}
	return executor.self.Incarnation
}

// assignReaders assigns a reader to each target if the instances or targets have changed; the caller holds the lock.
func (executor *Executor) assignReaders(now time.Time) {
	version := executor.peers.PeersVersion()
	if version == executor.assignedVersion && !executor.reassign {
		return
	}
	executor.assignedVersion, executor.reassign = version, false
	if delegating := executor.peers.Delegating(); delegating != executor.delegating {
		executor.delegating = delegating
		executor.recordRole()
		if delegating {
			executor.client.CloseIdle()
		}
	}
	candidates := executor.readerCandidates(executor.peers.EligiblePeers())
	executor.readsTargets = false
	changed := make(map[string]bool)
	for id, poller := range executor.pollers {
		former := poller.reader
		executor.assignReader(poller, candidates, now)
		changed[id] = poller.reader != former
	}
	executor.sendClaims(func(target string) bool { return changed[target] })
}

// readerCandidates holds the instances that can be readers.
type readerCandidates struct {
	all      []linker.Hello
	byDomain map[string][]linker.Hello
}

// readerCandidates returns the instances that can be readers: the eligible peers, and this instance unless it joins,
// leaves or delegates its jobs and there are others. The caller holds the lock.
func (executor *Executor) readerCandidates(eligible []linker.Hello) readerCandidates {
	all := eligible
	if !executor.leaving && !executor.delegating && !executor.peers.Joining() || len(eligible) == 0 {
		all = append([]linker.Hello{executor.self}, eligible...)
	}
	candidates := readerCandidates{all, make(map[string][]linker.Hello)}
	for _, candidate := range all {
		candidates.byDomain[candidate.Domain] = append(candidates.byDomain[candidate.Domain], candidate)
	}
	return candidates
}

// assignReader assigns the reader of a target by weighted rendezvous hashing over the candidates, with preference for
// the target's failure domain. The caller holds the lock.
func (executor *Executor) assignReader(poller *poller, candidates readerCandidates, now time.Time) {
	target, ok := executor.scheduler.Target(poller.id)
	if !ok {
		return
	}
	best := candidates.pick(&target)
	poller.reader = best.Incarnation
	isReader := best.Incarnation == executor.self.Incarnation
	executor.readsTargets = executor.readsTargets || isReader
	executor.scheduler.SetReader(poller.id, isReader, now)
	executor.scheduler.SetUsed(poller.id, isReader || executor.peers.Uses(target.ID, target.Domain))
	if isReader {
		executor.scheduler.AttachReader(poller.id, "", now)
	} else {
		executor.scheduler.AttachReader(poller.id, best.Incarnation, now)
	}
	if poller.isReader.Swap(isReader) != isReader {
		executor.readersChanged = true
		executor.logger.Debug("reader of target changed", "target", poller.id, "own", isReader, "reader", best.Name)
		executor.wake(poller.id)
	}
}

// pick returns the instance that reads a target.
func (candidates *readerCandidates) pick(target *scheduler.Target) *linker.Hello {
	instances := candidates.byDomain[target.Domain]
	if len(instances) == 0 {
		instances = candidates.all
	}
	best, bestScore := &instances[0], rendezvousScore(target.ID, &instances[0])
	for i := range instances[1:] {
		if score := rendezvousScore(target.ID, &instances[i+1]); score > bestScore {
			best, bestScore = &instances[i+1], score
		}
	}
	return best
}

// rendezvousScore returns the weighted rendezvous hashing score of an instance for a target.
func rendezvousScore(target string, instance *linker.Hello) float64 {
	return -instance.EffectiveWeight() / math.Log(scheduler.RendezvousHash(instance.Incarnation, target))
}

// Leave announces a planned stop, by which all jobs are answered, and hands the targets that this instance reads to the others. If a
// leaving instance remained a reader, it would stop the runs of the others as orphans, since their claims go elsewhere.
func (executor *Executor) Leave(stopsAt time.Time) {
	executor.mu.Lock()
	executor.leaving, executor.reassign, executor.stopsAt = true, true, stopsAt
	executor.scheduler.EndJobsBy(stopsAt)
	if outstanding := executor.scheduler.OutstandingStarts(); outstanding > 0 {
		executor.logger.Warn("starts without an answer are left behind by a planned stop", "starts", outstanding)
	}
	executor.group.Go(func() {
		if sleeper.For(executor.ctx, stopsAt.Sub(executor.now())) {
			executor.answerDelegatedAtStop()
		}
	})
	executor.mu.Unlock()
	executor.peers.Leave()
}

// repeatClaims sends the claims of this instance's runs again, since a target's reader may have changed or missed a
// claim; the caller holds the lock.
func (executor *Executor) repeatClaims() { executor.sendClaims(func(string) bool { return true }) }

// sendClaims sends the claims of this instance's runs on some targets to their readers; the caller holds the lock.
func (executor *Executor) sendClaims(concerns func(target string) bool) {
	for _, claim := range executor.scheduler.Claims(executor.now()) {
		if concerns(claim.Target) {
			executor.peers.Claim(executor.reader(claim.Target), claim)
		}
	}
}
