package scheduler

import "time"

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
func (scheduler *Scheduler) AttachReader(targetID, reader string) {
	target, ok := scheduler.targets[targetID]
	switch {
	case !ok:
	case reader == "":
		target.readerContact = nil
	default:
		target.readerContact = scheduler.contactWith(reader)
	}
}

// hearsReader reports whether this instance has heard recently enough from the reader of a target to start runs there. An
// instance that reads the target itself may have been paused, so that another one reads it by now: any other instance shows
// that it was not.
func (scheduler *Scheduler) hearsReader(target *target, now time.Time) bool {
	if target.readerContact != nil {
		return target.readerContact.recent(now)
	}
	return !target.readBySelf || scheduler.hearsAny(now)
}

// hearsAny reports whether any other instance has been heard from recently, or there is none that starts runs.
func (scheduler *Scheduler) hearsAny(now time.Time) bool {
	for _, peer := range scheduler.peers.Starting {
		if scheduler.contactWith(peer).recent(now) {
			return true
		}
	}
	return len(scheduler.peers.Starting) == 0
}

// hearsAll reports whether all other instances that start runs have been heard from recently.
func (scheduler *Scheduler) hearsAll(now time.Time) bool {
	for _, peer := range scheduler.peers.Starting {
		if !scheduler.contactWith(peer).recent(now) {
			return false
		}
	}
	return true
}
