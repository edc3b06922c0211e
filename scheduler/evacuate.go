package scheduler

import "time"

// SetDomainEvacuated sets whether the operator has requested that nothing be started on the targets of a failure domain. Their runs
// go on.
func (scheduler *Scheduler) SetDomainEvacuated(domain string, evacuated bool, now time.Time) {
	if evacuated {
		scheduler.evacuated[domain] = true
	} else {
		delete(scheduler.evacuated, domain)
	}
	for _, target := range scheduler.ordered {
		if target.Domain == domain {
			scheduler.updateEvacuated(target, now)
		}
	}
	scheduler.place(now)
}

// IsEvacuated reports whether nothing may start on a target, since its failure domain is evacuated.
func (scheduler *Scheduler) IsEvacuated(targetID string) bool {
	target, ok := scheduler.targets[targetID]
	return ok && target.evacuated
}

// updateEvacuated applies the state of its failure domain to a target, after a change of either.
func (scheduler *Scheduler) updateEvacuated(target *target, now time.Time) {
	evacuated := scheduler.evacuated[target.Domain]
	if evacuated == target.evacuated {
		return
	}
	target.evacuated = evacuated
	// Admission must count the target no longer, or again, from the next job on.
	clear(scheduler.releaseRates)
	if !evacuated {
		scheduler.handleEvacuationWithdrawn(target, now)
		return
	}
	// While an offer is open, the target would not be reported.
	delete(scheduler.offered, target.ID)
	scheduler.reportChange(target)
}

// handleEvacuationWithdrawn is called for each target when the evacuation of its failure domain is withdrawn, and when its entry
// begins to name a domain that is not evacuated. It may be cold by now; otherwise its capacity is reported at once.
func (scheduler *Scheduler) handleEvacuationWithdrawn(target *target, now time.Time) {
	scheduler.beginColdPeriod(target, now)
	scheduler.reportChange(target)
}

// reportChange lets the reader of a target report it again.
func (scheduler *Scheduler) reportChange(target *target) {
	if target.readBySelf {
		scheduler.changedTargets[target.ID] = true
	}
}

// HoldStarts lets nothing start until the given time, or lets starts go on if it is zero. The caller may lack an evacuation that
// another instance knows of.
func (scheduler *Scheduler) HoldStarts(until time.Time) { scheduler.startsHeldUntil = until }

// repeatEvacuationReports lets the reports of no free capacity of evacuated targets be sent again before they expire, as long as
// some instance does not exchange evacuations. It would otherwise take an idle target to be free after reportTTL.
func (scheduler *Scheduler) repeatEvacuationReports(now time.Time) {
	if len(scheduler.evacuated) == 0 || !scheduler.peers.Unaware {
		return
	}
	for _, target := range scheduler.ordered {
		if target.evacuated {
			scheduler.renewReport(target, now)
		}
	}
}

// renewReport lets the reader of a target repeat its report of no free capacity well before other instances take the last one for
// outdated: they would then count the whole capacity as free.
func (scheduler *Scheduler) renewReport(target *target, now time.Time) {
	if target.readBySelf && now.Sub(target.lastReportAt) >= reportTTL/2 {
		target.lastReport = CapacityReport{}
		scheduler.changedTargets[target.ID] = true
	}
}
