package scheduler

import "time"

// LeaseEvidence is what the assumed end of a target's lease was derived from.
type LeaseEvidence string

// Evidence for the end of a lease. The values are used in logs.
const (
	// LeaseStarted means that this instance sent a start request.
	LeaseStarted LeaseEvidence = "own-start"
	// LeasePolled means that this instance sent a poll that renews the lease.
	LeasePolled LeaseEvidence = "own-poll"
	// LeaseListed means that the target listed a run, so that another instance may just have renewed the lease.
	LeaseListed LeaseEvidence = "list"
	// LeaseClaimed means that another instance claimed a run on the target.
	LeaseClaimed LeaseEvidence = "claim"
	// LeaseReported means that the target's reader reported that the target responds.
	LeaseReported LeaseEvidence = "report"
	// LeaseUnreachable means that the target's reader reported that the target does not respond.
	LeaseUnreachable LeaseEvidence = "unreachable-report"
)

// extendLease records a request that may have renewed the lease at now.
func (target *target) extendLease(now time.Time, evidence LeaseEvidence) {
	if end := now.Add(LeaseDuration + leaseMargin); end.After(target.leaseEnd) {
		target.leaseEnd, target.leaseEvidence = end, evidence
	}
}

// lastRenewal returns the latest time at which the lease may have been renewed.
func (target *target) lastRenewal() time.Time {
	return target.leaseEnd.Add(-LeaseDuration - leaseMargin)
}

// RecordLeaseRenewal records that a request that renews a target's lease is about to be sent.
func (scheduler *Scheduler) RecordLeaseRenewal(targetID string, now time.Time) {
	if target, ok := scheduler.targets[targetID]; ok {
		target.extendLease(now, LeasePolled)
	}
}

// HandlePeerReport records a target's free capacity as reported by its reader, or that the reader cannot reach the
// target.
func (scheduler *Scheduler) HandlePeerReport(report CapacityReport, now time.Time) {
	target, ok := scheduler.targets[report.Target]
	if !ok || target.readBySelf {
		return
	}
	target.reportedFree, target.reportedAt, target.unreachableByReader = report.FreeCapacity, now, report.Unreachable
	if !report.Unreachable {
		target.recordResponse(now)
		target.lastPolled = now
		target.extendLease(now.Add(cutOffRenewalPeriod), LeaseReported)
		if target.reporter != report.Reporter && target.reporter != "" {
			target.formerRenewalsUntil = now.Add(cutOffRenewalPeriod)
		}
		target.reporter = report.Reporter
		return
	}
	if target.reporter != "" && target.reporter != report.Reporter {
		return
	}
	// The reader has not renewed the lease since it lost contact with the target; a former reader may have.
	renewed := now
	if target.formerRenewalsUntil.After(now) {
		renewed = target.formerRenewalsUntil
	}
	if end := renewed.Add(LeaseDuration + leaseMargin); end.Before(target.leaseEnd) {
		target.leaseEnd, target.leaseEvidence = end, LeaseUnreachable
	}
}
