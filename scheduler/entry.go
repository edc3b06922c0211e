package scheduler

import (
	"time"
)

// pendingEntryTimeout is how long an entry of discovery stays unused that contradicts what a target has answered. The target's
// next entry, which settles the matter if another writer has left this one, comes earlier.
const pendingEntryTimeout = 2 * time.Second

// setTarget handles an entry of discovery. Only an answer of the target proves which incarnation runs at which address;
// an entry may come from a former incarnation or from another writer.
func (scheduler *Scheduler) setTarget(info Target, now time.Time) {
	known, ok := scheduler.targets[info.ID]
	if !ok {
		scheduler.observeIncarnation(info.ID, info.Address, info.Incarnation, now)
		added := newTarget(info, scheduler.groupSpeed(info), now)
		added.suspended = scheduler.suspended[info.Domain]
		added.nonReaderBias = nonReaderSpread * RendezvousHash(scheduler.self, info.ID)
		added.evacuated = scheduler.evacuated[info.Domain]
		scheduler.targets[info.ID] = added
		scheduler.updateColdPeriod(added, now)
		scheduler.applyKeptReports(info.ID)
		scheduler.voidLateStarts(added, now)
		return
	}
	known.deletedAt = time.Time{}
	if !known.contradictedBy(&info) {
		scheduler.takePending(known)
		scheduler.applyEntry(known, info, now)
		return
	}
	if known.pending == nil {
		known.pendingSince = now
	}
	known.pending = &info
	scheduler.reportChange(known)
}

// contradictedBy reports whether an entry contradicts what is known of the target: it names an earlier incarnation, a later
// one than the one that has answered, or another address than the one at which this incarnation has answered.
func (target *target) contradictedBy(info *Target) bool {
	switch {
	case info.Incarnation != 0 && info.Incarnation < target.Incarnation:
		return true
	case target.unreachable || target.unreachableByReader || target.replaced:
		return false
	case info.Incarnation > target.Incarnation:
		return target.Incarnation != 0 && target.verified == target.Incarnation
	}
	return info.Address != target.Address && target.addressVerified
}

// applyEntry updates a target by an entry.
func (scheduler *Scheduler) applyEntry(known *target, info Target, now time.Time) {
	restarted := info.Incarnation != 0 && info.Incarnation != known.Incarnation
	if restarted {
		scheduler.handleTargetRestart(known, info.Incarnation, RestartDiscovered, now)
	}
	former, formerService := known.Address, known.Service
	if info.Address != former {
		known.resetExclusions()
		known.addressVerified = false
	}
	info.Incarnation = known.Incarnation
	if info.Capacity != known.Capacity {
		scheduler.reportChange(known)
	}
	known.Target = info
	if info.Service != formerService {
		scheduler.rebuildIndexes()
	}
	scheduler.recordEntry(known, now)
	known.suspended = scheduler.suspended[info.Domain]
	scheduler.updateEvacuated(known, now)
	known.largestCapacity = known.largestCapacity.max(info.Capacity)
	known.groupSpeed = scheduler.groupSpeed(info)
	scheduler.updateColdPeriod(known, now)
	if restarted || info.Address != former {
		scheduler.voidLateStarts(known, now)
	}
}

// recordAnswer records that an incarnation of a target has answered at an address, and settles which one runs there.
func (scheduler *Scheduler) recordAnswer(target *target, poll *PollResult) {
	now := poll.Answered
	if pending := target.pending; pending != nil && !poll.Sent.Before(target.pendingSince) {
		scheduler.takePending(target)
		if pending.Incarnation == poll.Incarnation && pending.Address == target.Address {
			scheduler.applyEntry(target, *pending, now)
		} else if target.readBySelf {
			scheduler.emit(TargetVerified{Target: target.ID, Incarnation: poll.Incarnation})
		}
	}
	scheduler.settleIncarnation(target, poll.Incarnation, RestartAnswered, now)
	if poll.Address != "" && poll.Address != target.Address {
		// Only an entry has named another address.
		target.Address = poll.Address
		target.resetExclusions()
	}
	target.replaced, target.addressVerified = false, true
	scheduler.recordNamed(target, poll.Named, now)
}

// HandleAccepted handles a request that a target has accepted, as it was known when the request was sent.
func (scheduler *Scheduler) HandleAccepted(on Target, now time.Time) {
	if target, ok := scheduler.targets[on.ID]; ok {
		scheduler.recordNamed(target, on.Incarnation, now)
	}
}

// recordNamed records that the target has answered a request that names the given incarnation.
func (scheduler *Scheduler) recordNamed(target *target, incarnation int64, now time.Time) {
	if incarnation == 0 || incarnation != target.Incarnation || target.guarded == incarnation {
		return
	}
	target.guarded = incarnation
	if !target.restartedAt.IsZero() {
		scheduler.emit(TargetGuarded{
			Target: target.ID, Incarnation: incarnation, After: now.Sub(target.incarnationSince), At: now,
			Asker: scheduler.asker(target), Outstanding: scheduler.outstandingOn(target.ID),
		})
	}
}

// asker returns what this instance is to a target.
func (scheduler *Scheduler) asker(target *target) GuardAsker {
	switch {
	case target.readBySelf:
		return AskerReader
	case scheduler.hasOutstanding(target.ID):
		return AskerOwner
	}
	return AskerOther
}

// settleIncarnation records that an incarnation of a target has answered this instance or its reader.
func (scheduler *Scheduler) settleIncarnation(target *target, incarnation int64, evidence RestartEvidence, now time.Time) {
	switch {
	case incarnation == 0 || incarnation == target.Incarnation:
	case incarnation > target.Incarnation, target.verified != 0 && target.verified != incarnation:
		// The wall clock that names incarnations may have been set back.
		scheduler.handleTargetRestart(target, incarnation, evidence, now)
		scheduler.voidLateStarts(target, now)
		scheduler.recordRestartOfStopped(target, now)
	default:
		scheduler.correctIncarnation(target, incarnation, now)
	}
	target.verified = target.Incarnation
}

// correctIncarnation replaces an incarnation that only an entry had named.
func (scheduler *Scheduler) correctIncarnation(target *target, incarnation int64, now time.Time) {
	wrong := target.Incarnation
	target.Incarnation, target.incarnationSince = incarnation, now
	for key, pending := range scheduler.pendingStops {
		if key.target == target.ID && pending.incarnation == wrong {
			pending.incarnation = incarnation
		}
	}
	for run, allocation := range target.allocations {
		if allocation.incarnation == wrong {
			allocation.incarnation = incarnation
		}
		if task := scheduler.tasks[run.Task]; task != nil && task.latest(target.ID, run) && task.incarnation == wrong {
			task.incarnation = incarnation
		}
	}
	scheduler.updateSuspended(target.ID)
}

// takePending removes and returns the entry that contradicts what the target has answered, or returns nil if there is none.
func (scheduler *Scheduler) takePending(target *target) *Target {
	pending := target.pending
	if pending != nil {
		target.pending = nil
		scheduler.reportChange(target)
	}
	return pending
}

// adoptPending uses an entry after all, since the target no longer answers as it did.
func (scheduler *Scheduler) adoptPending(target *target, now time.Time) {
	if pending := scheduler.takePending(target); pending != nil {
		scheduler.applyEntry(target, *pending, now)
	}
}

// Contradicted returns the targets with an entry that contradicts what they have answered.
func (scheduler *Scheduler) Contradicted() []string {
	var ids []string
	for _, target := range scheduler.ordered {
		if target.pending != nil {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

// HandlePollFailure handles a poll that a target did not answer.
func (scheduler *Scheduler) HandlePollFailure(targetID string, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		scheduler.adoptPending(target, now)
	}
}

// HandleFenced handles a request that a target refused since it has seen one for a later incarnation. The target responds, but
// not as the incarnation that it was sent to.
func (scheduler *Scheduler) HandleFenced(on Target, now time.Time) {
	if target, ok := scheduler.targets[on.ID]; ok && target.Incarnation == on.Incarnation && target.Address == on.Address {
		target.recordFenced(now)
		if target.pending != nil && target.pending.Incarnation > target.Incarnation {
			scheduler.adoptPending(target, now)
		}
	}
}

// HandlePeerVerification handles the reader's news of the incarnation that has answered it.
func (scheduler *Scheduler) HandlePeerVerification(targetID string, incarnation int64, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok || incarnation == 0 {
		return
	}
	if pending := target.pending; pending != nil && pending.Incarnation == incarnation && incarnation != target.Incarnation {
		scheduler.adoptPending(target, now)
	}
	scheduler.takePending(target)
	scheduler.settleIncarnation(target, incarnation, RestartReported, now)
}

// expirePendingEntries uses the entries that nothing has settled in time.
func (scheduler *Scheduler) expirePendingEntries(now time.Time) {
	for _, target := range scheduler.ordered {
		if target.pending != nil && now.Sub(target.pendingSince) >= pendingEntryTimeout {
			scheduler.adoptPending(target, now)
		}
	}
}
