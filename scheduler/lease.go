package scheduler

import (
	"slices"
	"time"
)

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
	// LeaseAnnounced means that the target's reader announced the end of the lease.
	LeaseAnnounced LeaseEvidence = "announced"
)

// extendLease records a request that may have renewed the lease at now.
func (target *target) extendLease(now time.Time, evidence LeaseEvidence) {
	if evidence == LeaseStarted || evidence == LeasePolled {
		target.ownRenewal = now
	}
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
	if !ok {
		scheduler.keepReport(report, now)
		return
	}
	scheduler.matchReport(target, &report, now)
	// A reader that has not listed the runs on the target yet reports no free capacity.
	target.recordPeerLook(&report)
	if report.FreeCapacity != (Resources{}) {
		scheduler.recordVouch(target, report.Reporter, now)
	}
	if target.readBySelf {
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
	// The reader has not renewed the lease since it lost contact with the target; a former reader may have. Instances that
	// have not received this report start runs there until they have heard nothing from the reader for ContactTimeout.
	renewed := now.Add(ContactTimeout)
	if target.formerRenewalsUntil.After(renewed) {
		renewed = target.formerRenewalsUntil
	}
	target.leaseEnd, target.leaseEvidence = renewed.Add(LeaseDuration+leaseMargin), LeaseUnreachable
}

// announceLeaseEnd announces when the lease of a target ends that this instance reads and cannot reach, as soon as no other
// instance can start anything there any more and the claims of all starts have arrived.
func (scheduler *Scheduler) announceLeaseEnd(target *target, now time.Time) {
	if !target.readBySelf || !target.unreachable || target.leaseAnnounced || !scheduler.hasHeardAllSince(target.unreachableSince.Add(ContactTimeout)) {
		return
	}
	target.leaseAnnounced = true
	var owners []string
	for _, allocation := range target.allocations {
		if allocation.owner != "" && allocation.owner != scheduler.self && !slices.Contains(owners, allocation.owner) {
			owners = append(owners, allocation.owner)
		}
	}
	if len(owners) > 0 {
		slices.Sort(owners)
		scheduler.emit(AnnounceLeaseEnd{Target: target.ID, To: owners, End: target.leaseEnd})
	}
}

// HandlePeerLeaseEnd handles the announcement of a target's reader that the lease ends at the given time by the requests of all
// instances.
func (scheduler *Scheduler) HandlePeerLeaseEnd(from, targetID string, end time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok || target.readBySelf || !target.unreachableByReader || target.reporter != "" && target.reporter != from {
		return
	}
	for _, renewal := range []time.Time{target.ownRenewal, target.formerRenewalsUntil} {
		if own := renewal.Add(LeaseDuration + leaseMargin); own.After(end) {
			end = own
		}
	}
	target.leaseEnd, target.leaseEvidence = end, LeaseAnnounced
}

// Reports returns reports of the targets that this instance reads, for an instance that may have missed them: a target's reader
// repeats no report while nothing runs there. Those whose runs it has not listed yet are left out.
func (scheduler *Scheduler) Reports(now time.Time) []CapacityReport {
	var reports []CapacityReport
	for _, target := range scheduler.ordered {
		if target.readBySelf && (target.unreachable || target.listedByReader()) && !scheduler.withholdsReport(target) {
			reports = append(reports, target.report(now))
		}
	}
	return reports
}

// leaseIsOver reports whether the lease of a target has ended by all requests of any instance. The reader of the target knows
// of the starts of others by their claims, which arrive before later broadcasts.
func (scheduler *Scheduler) leaseIsOver(target *target, now time.Time) bool {
	if now.Before(target.leaseEnd) || now.Before(scheduler.lossDetectionFrom) {
		return false
	}
	lastStart := target.unreachableSince.Add(ContactTimeout)
	return !target.readBySelf || scheduler.hasHeardAllSince(lastStart) || !now.Before(lastStart.Add(LeaseDuration+leaseMargin))
}
