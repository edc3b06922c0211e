package scheduler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/reserver"
)

// reservationPolicy decides whether to ask the reader of a target for a reservation.
type reservationPolicy interface {
	// Asks reports whether a start that relies on a report of the given age is to be preceded by a reservation.
	Asks(age time.Duration) bool
	// Record records the result of a start that relied on a report of the given age.
	Record(age time.Duration, failed bool)
}

// neverReserving is the policy of instances that hold as many connections to targets as they need: there, a rejected start costs
// little, and an answer to a reservation would delay the start by a round trip.
type neverReserving struct{}

func (neverReserving) Asks(time.Duration) bool { return false }

func (neverReserving) Record(time.Duration, bool) {}

// SetReserving sets whether this instance may ask for reservations.
func (scheduler *Scheduler) SetReserving(reserving bool) {
	_, never := scheduler.reserver.(neverReserving)
	switch {
	case reserving && never:
		scheduler.reserver = reserver.New()
	case !reserving:
		scheduler.reserver = neverReserving{}
	}
}

// reserves reports whether the reader of a target is to be asked for a reservation before a run starts there. An isolated run
// claims the whole target, and a target on probation gets one run at a time; both start as without reservations.
func (scheduler *Scheduler) reserves(target *target, now time.Time) bool {
	if target.readBySelf || target.readerContact == nil || target.probation || target.isolatedJob != "" {
		return false
	}
	return scheduler.reserver.Asks(reportAge(target.reportedAt, now))
}

// reportAge returns the age of a report of free capacity; one that is missing counts as outdated.
func reportAge(reportedAt, now time.Time) time.Duration {
	if reportedAt.IsZero() {
		return reportTTL
	}
	return now.Sub(reportedAt)
}

// recordContention records the result of a start on a target that another instance reads.
func (scheduler *Scheduler) recordContention(target *target, run Run, result StartResult) {
	switch result {
	case StartTaken, StartTakenAgain, StartNoRoom:
		scheduler.contention.record(result == StartNoRoom)
	case StartDenied:
		scheduler.contention.recordDenial()
	case StartStale, StartLate, StartRefused, StartImpossible, StartUnanswered, StartUnsent, StartUnconnected, StartFenced, StartWithheld, StartNoConnection:
		return
	}
	if allocation, ok := target.allocations[run]; ok {
		scheduler.reserver.Record(reportAge(allocation.reportedAt, allocation.claimedAt), !result.IsTaken())
	}
}

// HandlePeerReservation decides on another instance's reservation of capacity on a target that this instance reads, and records
// its claim unless the reservation is denied. If the run has already ended, it also returns the end and true.
func (scheduler *Scheduler) HandlePeerReservation(owner string, claim Claim, now time.Time) (reserver.Answer, End, bool) {
	answer := scheduler.decideReservation(owner, &claim, now)
	if answer == reserver.Denied {
		// If the denial arrives too late, the start request is sent; its lease counts from the decision to start. The claim
		// follows then.
		scheduler.targets[claim.Target].extendLease(now, LeaseClaimed)
		return answer, End{}, false
	}
	end, ended := scheduler.HandlePeerClaim(owner, claim, now)
	return answer, end, ended
}

// decideReservation grants a reservation that fits into the free capacity that this instance would report. It does not decide
// on targets that it does not read, nor on a reservation whose start no longer waits for the answer.
func (scheduler *Scheduler) decideReservation(owner string, claim *Claim, now time.Time) reserver.Answer {
	target, ok := scheduler.targets[claim.Target]
	if !ok || !target.readBySelf || claim.Age >= reserver.AnswerTimeout {
		return reserver.Unanswered
	}
	switch {
	case claim.Incarnation != 0 && claim.Incarnation < target.Incarnation:
		// The owner decided by what it knew of a former incarnation.
		return reserver.Denied
	case claim.Incarnation > target.Incarnation:
		return reserver.Unanswered
	}
	known, ok := target.allocations[claim.Run]
	// The capacity of a run that is claimed or listed already is not free.
	if ok && (known.owner == owner || !known.confirmedAt.IsZero()) || claim.Resources.Fits(target.report(now).FreeCapacity) {
		return reserver.Granted
	}
	return reserver.Denied
}
