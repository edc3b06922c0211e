package scheduler

import (
	"maps"
	"slices"
	"time"
)

// ContactTimeout is how long after a broadcast of a target's reader was sent an instance that has received nothing newer may
// start runs there: two heartbeats. Each start renews the lease of all runs on the target, and the reader's next broadcast
// may say that it no longer reaches the target.
const ContactTimeout = 250 * time.Millisecond

// contact is when the last broadcast was sent that has arrived from another instance, on the clock of this instance.
type contact struct{ sentAt time.Time }

// recent reports whether what the instance broadcast until a short time ago is known.
func (contact *contact) recent(now time.Time) bool { return now.Sub(contact.sentAt) <= ContactTimeout }

// contactWith returns the contact with another instance.
func (scheduler *Scheduler) contactWith(peer string) *contact {
	known, ok := scheduler.contacts[peer]
	if !ok {
		known = &contact{}
		scheduler.contacts[peer] = known
	}
	return known
}

// RecordBroadcast records that a broadcast of another instance has arrived, and when it was sent on the clock of this
// instance.
func (scheduler *Scheduler) RecordBroadcast(from string, sentAt time.Time) {
	if contact := scheduler.contactWith(from); sentAt.After(contact.sentAt) {
		contact.sentAt = sentAt
	}
}

// AttachReader sets which other instance reads a target; empty if none does.
func (scheduler *Scheduler) AttachReader(targetID, reader string, now time.Time) {
	target, ok := scheduler.targets[targetID]
	if !ok {
		return
	}
	if reader == "" {
		target.readerContact, target.reportAwaitedUntil = nil, time.Time{}
		return
	}
	contact := scheduler.contactWith(reader)
	if target.readerContact == contact {
		return
	}
	if target.readerContact != nil {
		// The next reader reports it if it cannot reach the target either.
		target.unreachableByReader = target.unreachableByReader && target.reporter == reader
	}
	target.readerContact = contact
	if vouched, ok := target.vouches[reader]; ok && now.Sub(vouched) < orphanGrace {
		target.reportAwaitedUntil = time.Time{}
		return
	}
	target.awaitReport(now)
}

// unknownRunTimeout is how long the runs on a target may go on that no live instance owns and nobody has listed since their owners
// were lost, unless a start renews their lease.
const unknownRunTimeout = ContactTimeout + LeaseDuration + leaseMargin

// awaitReport lets nothing start on a target until its reader has reported it, or until unknown runs have ended.
func (target *target) awaitReport(now time.Time) {
	target.reportAwaitedUntil = now.Add(unknownRunTimeout)
}

// recordVouch records that an instance has listed the runs on a target as its reader. It may not be known as the reader yet.
func (scheduler *Scheduler) recordVouch(target *target, reporter string, now time.Time) {
	if target.readerContact != nil && target.readerContact == scheduler.contactWith(reporter) {
		target.reportAwaitedUntil = time.Time{}
		return
	}
	if target.vouches == nil {
		target.vouches = make(map[string]time.Time)
	}
	maps.DeleteFunc(target.vouches, func(_ string, at time.Time) bool { return now.Sub(at) >= orphanGrace })
	target.vouches[reporter] = now
}

// ForgetReports lets nothing start on the targets of other readers before they report again, because this instance has not received
// all of their reports.
func (scheduler *Scheduler) ForgetReports(now time.Time) {
	for _, target := range scheduler.ordered {
		if target.readerContact != nil {
			target.awaitReport(now)
		}
	}
}

// keepReport keeps the report of a target that this instance does not know yet: the reader repeats no report of an idle target.
func (scheduler *Scheduler) keepReport(report CapacityReport, now time.Time) {
	kept := slices.DeleteFunc(scheduler.earlyReports[report.Target], func(early earlyReport) bool { return early.Reporter == report.Reporter })
	if len(kept) < maxEarlyReports && (len(kept) > 0 || len(scheduler.earlyReports) < maxEarlyTargets) {
		scheduler.earlyReports[report.Target] = append(kept, earlyReport{report, now})
	}
}

// applyKeptReports applies the reports of a target that has just become known.
func (scheduler *Scheduler) applyKeptReports(target string) {
	kept := scheduler.earlyReports[target]
	delete(scheduler.earlyReports, target)
	for _, early := range kept {
		scheduler.HandlePeerReport(early.CapacityReport, early.at)
	}
}

// expireKeptReports forgets reports of targets that have not become known.
func (scheduler *Scheduler) expireKeptReports(now time.Time) {
	maps.DeleteFunc(scheduler.earlyReports, func(_ string, kept []earlyReport) bool { return now.Sub(kept[len(kept)-1].at) > unknownRunTimeout })
}

// maxEarlyTargets and maxEarlyReports bound the memory for reports of unknown targets and for those of one target.
const (
	maxEarlyTargets = 4096
	maxEarlyReports = 8
)

// earlyReport is a report of a target that is not known yet, and the time of its arrival.
type earlyReport struct {
	CapacityReport
	at time.Time
}

// mayStartOn reports whether starts on a target, which renew the leases of all runs there, are in keeping with what the target's
// reader knows.
func (scheduler *Scheduler) mayStartOn(target *target, now time.Time) bool {
	return scheduler.hearsReader(target, now) && !now.Before(target.reportAwaitedUntil) && !(target.readBySelf && target.withholdsCapacity(now))
}

// hearsReader reports whether this instance has heard recently enough from the reader of a target to start runs there. An
// instance that reads the target itself may have been paused, so that another one reads it by now: any other instance shows
// that it was not.
func (scheduler *Scheduler) hearsReader(target *target, now time.Time) bool {
	if target.readerContact != nil {
		return target.readerContact.recent(now)
	}
	return !target.readBySelf || !scheduler.hasHeardNoneSince(now.Add(-ContactTimeout))
}

// hasHeardNoneSince reports whether there are other instances that start runs, and none has sent a broadcast since the given time
// that has arrived.
func (scheduler *Scheduler) hasHeardNoneSince(since time.Time) bool {
	return len(scheduler.peers.Starting) > 0 && !slices.ContainsFunc(scheduler.peers.Starting, func(peer string) bool {
		return !scheduler.contactWith(peer).sentAt.Before(since)
	})
}

// hasHeardAllSince reports whether all other instances that start runs have sent a broadcast since the given time that has
// arrived, so that the claims of what they had started before have arrived too. An instance that was lost before it sent one
// may have started runs that are not known here.
func (scheduler *Scheduler) hasHeardAllSince(since time.Time) bool {
	for _, peer := range scheduler.peers.Starting {
		if scheduler.contactWith(peer).sentAt.Before(since) {
			return false
		}
	}
	return !slices.ContainsFunc(scheduler.lostContacts, func(lost contact) bool { return lost.sentAt.Before(since) })
}

// lostContactRetention is how long after its last broadcast a lost instance counts as one that may have started runs whose
// leases go on.
const lostContactRetention = 2 * (ContactTimeout + LeaseDuration + leaseMargin)

// loseContact ends the contact with a lost instance.
func (scheduler *Scheduler) loseContact(peer string) {
	if known := scheduler.contactWith(peer); !known.sentAt.IsZero() {
		scheduler.lostContacts = append(scheduler.lostContacts, *known)
		known.sentAt = time.Time{}
	}
}

// expireLostContacts forgets the contacts with instances that were lost long ago.
func (scheduler *Scheduler) expireLostContacts(now time.Time) {
	scheduler.lostContacts = slices.DeleteFunc(scheduler.lostContacts, func(lost contact) bool { return now.Sub(lost.sentAt) > lostContactRetention })
}
