package scheduler

import "time"

// TargetDescribed records that the entry of the present incarnation of a target has been read, after it was first awaited.
type TargetDescribed struct {
	Target      string
	Incarnation int64
	// After is the time since this instance has known of the incarnation.
	After time.Duration
}

func (TargetDescribed) isAction() {}

// awaitsEntry reports whether it is unknown what the target is like: the entry in use describes another incarnation than the present
// one, or a newer entry names a later incarnation than the one that has answered. Labels, service, capacity and failure domain may
// change with each restart, and only entries tell them.
func (target *target) awaitsEntry() bool {
	return target.described != target.Incarnation || target.pending != nil && target.pending.Incarnation > target.Incarnation
}

// awaitsAnswer reports whether only an entry has shown that the target has restarted.
func (target *target) awaitsAnswer() bool {
	return !target.restartedAt.IsZero() && target.verified != target.Incarnation
}

// answeredIncarnation returns the present incarnation, or 0 if it has not answered this instance or its reader.
func (target *target) answeredIncarnation() int64 {
	if target.verified != target.Incarnation {
		return 0
	}
	return target.Incarnation
}

// recordEntry records that the entry in use describes the present incarnation.
func (scheduler *Scheduler) recordEntry(target *target, now time.Time) {
	if target.described == target.Incarnation {
		return
	}
	target.described, target.largestCapacity = target.Incarnation, target.Capacity
	scheduler.reportChange(target)
	if now.After(target.incarnationSince) {
		scheduler.emit(TargetDescribed{Target: target.ID, Incarnation: target.Incarnation, After: now.Sub(target.incarnationSince)})
	}
}

// forgetReport drops what the reader of a target has reported of its former incarnation, and lets nothing start there before the
// reader has reported the present one.
func (scheduler *Scheduler) forgetReport(target *target, now time.Time) {
	target.reportedFree, target.reportedAt = Resources{}, time.Time{}
	clear(target.vouches)
	if target.readerContact != nil {
		target.awaitReport(now)
	}
	scheduler.reportChange(target)
}

// matchReport brings a report and what is known of its target to the same incarnation. A report of a later incarnation shows that the
// target has restarted; one of a former incarnation says nothing about the present free capacity.
func (scheduler *Scheduler) matchReport(target *target, report *CapacityReport, now time.Time) {
	switch {
	case report.Incarnation > target.Incarnation:
		scheduler.HandlePeerRestart(target.ID, report.Incarnation, now)
	case report.Incarnation != 0 && report.Incarnation < target.Incarnation:
		report.FreeCapacity = Resources{}
	}
}
