package scheduler

import (
	"slices"
	"time"
)

const (
	// orphanGrace is how long a run without a known owner may continue while it is not certain that it has none. A live
	// owner repeats its claim within this time, and the caller of a lost owner sends its job again only later.
	orphanGrace = 2*ClaimRepeatInterval + 100*time.Millisecond
	// ownerQueryDelay is how long after a run without a known owner was first listed the other instances are asked for its
	// owner; claims are under way for less.
	ownerQueryDelay = maxClaimTransit
)

// Peers describes the other instances that are live.
type Peers struct {
	// Answering holds the incarnations that answer queries for the owner of a run.
	Answering []string
	// Starting holds the incarnations of the instances that start runs.
	Starting []string
	// Complete means that there are no other live instances, as far as the platform knows.
	Complete bool
	// Unaware means that some live instance does not exchange evacuations.
	Unaware bool
}

// SetPeers sets the live instances.
func (scheduler *Scheduler) SetPeers(peers Peers) { scheduler.peers = peers }

// OwnedRun names a run on an incarnation of a target whose owner is in question.
type OwnedRun struct {
	Target string
	// Incarnation is the incarnation that lists the run; 0 if unknown.
	Incarnation int64
	Run         Run
}

// QueryOwner asks instances whether they own a run.
type QueryOwner struct {
	OwnedRun
	To []string
	// ListedFor is the time since the run was claimed or first listed, and RestartedFor the time since the target restarted;
	// zero if it did not since this instance knows it.
	ListedFor    time.Duration
	RestartedFor time.Duration
}

// StopOrphans stops the runs on a target whose owner is lost, that no instance owns, or that this instance started but
// has replaced or abandoned. Only the reader of the target calls it.
func (scheduler *Scheduler) StopOrphans(targetID string, alive func(owner string) bool, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok || len(target.allocations) == 0 {
		return
	}
	for _, run := range sortedRuns(target.allocations) {
		allocation := target.allocations[run]
		if allocation.confirmedAt.IsZero() {
			continue
		}
		switch {
		case allocation.owner == scheduler.self:
			task, ok := scheduler.tasks[run.Task]
			if (!ok || !task.latest(targetID, run)) && now.Sub(allocation.claimedAt) >= orphanGrace {
				scheduler.stopOrphan(target, run, "this instance has abandoned the run", now)
			}
		case allocation.owner == "":
			scheduler.checkUnowned(target, run, allocation, now)
		case !alive(allocation.owner):
			scheduler.stopOrphan(target, run, "the run's instance is lost", now)
		case now.After(allocation.ownedUntil()) && now.Sub(allocation.lastClaimed()) < orphanGrace:
			scheduler.changedTargets[targetID] = true // the free capacity is withheld from now on
		case now.Sub(allocation.lastClaimed()) >= orphanGrace:
			// The owner repeats the claims of all its runs.
			scheduler.queryOwner(target, run, allocation, []string{allocation.owner}, now)
		}
	}
}

// checkUnowned looks for the owner of a run, and stops the run if it has none. The target lists the run, and no instance
// has claimed it since this one is the reader: the former reader may have known the owner, or have been the owner.
func (scheduler *Scheduler) checkUnowned(target *target, run Run, allocation *allocation, now time.Time) {
	scheduler.changedTargets[target.ID] = true // the free capacity is withheld from now on
	listedFor, queryDelay := now.Sub(allocation.claimedAt), ownerQueryDelay
	if scheduler.AwaitsFirstLook() {
		// Nothing has started yet, so that no claim is under way.
		queryDelay = 0
	}
	var unasked []string
	for _, peer := range scheduler.peers.Answering {
		if !allocation.disowned[peer] {
			unasked = append(unasked, peer)
		}
	}
	switch {
	case listedFor >= orphanGrace, listedFor >= queryDelay && scheduler.peers.Complete && len(unasked) == 0:
		scheduler.stopOrphan(target, run, "no instance owns the run", now)
	case listedFor >= queryDelay && len(unasked) > 0 && now.Sub(allocation.queriedAt) >= ownerQueryDelay:
		allocation.queriedAt = now
		scheduler.queryOwner(target, run, allocation, unasked, now)
	}
}

func (scheduler *Scheduler) queryOwner(target *target, run Run, allocation *allocation, to []string, now time.Time) {
	query := QueryOwner{OwnedRun: OwnedRun{target.ID, allocation.incarnation, run}, To: to, ListedFor: now.Sub(allocation.claimedAt)}
	if !target.restartedAt.IsZero() {
		query.RestartedFor = now.Sub(target.restartedAt)
	}
	scheduler.emit(query)
}

// stopOrphan requests the stop of a run unless that has been done recently.
func (scheduler *Scheduler) stopOrphan(target *target, run Run, reason string, now time.Time) {
	if pending, ok := scheduler.pendingStops[targetRun{target.ID, run}]; !ok || now.Sub(pending.requestedAt) >= orphanGrace {
		scheduler.requestStop(target, run, reason, true, now)
	}
}

// withholdsCapacity reports whether the reader of a target keeps new work away, because the target may run something that no
// live instance owns: the caller sends its job again, and each start would renew the lease of the run.
func (target *target) withholdsCapacity(now time.Time) bool {
	if !target.listedByReader() {
		return true
	}
	isNewReader := now.Sub(target.readSince) < LeaseDuration+leaseMargin
	for _, allocation := range target.allocations {
		isOwned := allocation.owner != "" && !allocation.ownerLost && !now.After(allocation.ownedUntil())
		// The claim of a run that was listed just now may be under way.
		if !isOwned && !allocation.confirmedAt.IsZero() && (isNewReader || now.Sub(allocation.claimedAt) >= ownerQueryDelay) {
			return true
		}
	}
	return false
}

// listedByReader reports whether the target has listed its runs since this instance became its reader.
func (target *target) listedByReader() bool { return !target.lastPolled.Before(target.readSince) }

// ownedUntil returns until when a run of another instance renews the lease: as long as the owner repeats the claim and is
// heard from. The lease of a silent owner's run must have ended before its caller sends the job again.
func (allocation *allocation) ownedUntil() time.Time {
	until := allocation.lastClaimed().Add(orphanGrace)
	if contact := allocation.ownerContact; contact != nil && !contact.sentAt.IsZero() {
		if heard := contact.sentAt.Add(ContactTimeout); heard.Before(until) {
			return heard
		}
	}
	return until
}

// lastClaimed returns when the owner last sent the claim of a run.
func (allocation *allocation) lastClaimed() time.Time {
	if allocation.repeatedAt.After(allocation.claimedAt) {
		return allocation.repeatedAt
	}
	return allocation.claimedAt
}

// HandleOwnerQuery answers the reader of a target whether this instance owns a run there. It returns the claim of the run
// and true if it does.
func (scheduler *Scheduler) HandleOwnerQuery(query OwnedRun, now time.Time) (Claim, bool) {
	task := scheduler.tasks[query.Run.Task]
	_, ending := scheduler.pendingStops[targetRun{query.Target, query.Run}]
	if task == nil || ending || !task.latest(query.Target, query.Run) || !task.mayBeRunning() || task.incarnation > query.Incarnation && query.Incarnation != 0 {
		scheduler.recordOwnerless(query, now)
		return Claim{}, false
	}
	return task.claim(now), true
}

// HandlePeerDisowned records that an instance does not own a run on a target that this instance reads, and stops the run if
// no instance does.
func (scheduler *Scheduler) HandlePeerDisowned(from string, disowned OwnedRun, now time.Time) {
	target, ok := scheduler.targets[disowned.Target]
	if !ok || !target.readBySelf {
		return
	}
	allocation, ok := target.allocations[disowned.Run]
	switch {
	case !ok || allocation.confirmedAt.IsZero() || allocation.incarnation != disowned.Incarnation:
	case allocation.owner == from:
		scheduler.stopOrphan(target, disowned.Run, "the run's instance has abandoned it", now)
	case allocation.owner == "":
		if allocation.disowned == nil {
			allocation.disowned = make(map[string]bool)
		}
		allocation.disowned[from] = true
		if scheduler.peers.Complete && !slices.ContainsFunc(scheduler.peers.Answering, func(peer string) bool { return !allocation.disowned[peer] }) {
			scheduler.checkUnowned(target, disowned.Run, allocation, now)
		}
	}
}

// wantedUntil returns until when the lease of a target may be renewed for the sake of its known runs: for those of this
// instance until their callers stop waiting, for those of others as long as they repeat the claims. A run whose owner is
// not known, or is lost, renews no lease.
func (scheduler *Scheduler) wantedUntil(target *target) time.Time {
	var latest time.Time
	for run, allocation := range target.allocations {
		var until time.Time
		switch {
		case allocation.owner == scheduler.self:
			if task, ok := scheduler.tasks[run.Task]; ok && task.latest(target.ID, run) {
				until = task.job.Deadline
			}
		case allocation.owner != "" && !allocation.ownerLost:
			until = allocation.ownedUntil()
		}
		if until.After(latest) {
			latest = until
		}
	}
	return latest
}
