package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/isolator"
)

// silentLossDelay is how long a target must have been silent before the other instances are notified. Most silences under
// overload are shorter; notifying all instances of each one, and of its end, would add to the overload. The task of a run
// there starts again only after the lease, which is longer.
const silentLossDelay = 250 * time.Millisecond

// lossKey identifies an incarnation of a target.
type lossKey struct {
	target      string
	incarnation int64
}

// unsharedLoss is what this instance knows about a silent target and has not sent to the others yet.
type unsharedLoss struct {
	dueAt time.Time
	// runs holds the runs that were on the target as far as this instance has observed them.
	runs map[Run]bool
}

// lossSharing decides when other instances are notified of losses.
type lossSharing struct {
	unshared map[lossKey]*unsharedLoss
	// shared holds the losses that other instances know.
	shared map[lossKey]bool
}

func newLossSharing() lossSharing {
	return lossSharing{unshared: make(map[lossKey]*unsharedLoss), shared: make(map[lossKey]bool)}
}

// shareLoss sends what this instance has observed of a loss to all others, at once if the target has probably crashed, and
// otherwise if it stays silent. merged is all that is known about the loss.
func (scheduler *Scheduler) shareLoss(merged isolator.Loss, observed []isolator.Suspect, discovered bool, now time.Time) {
	key := lossKey{merged.Target, merged.Incarnation}
	pending, waiting := scheduler.unshared[key]
	if !waiting {
		pending = &unsharedLoss{dueAt: now.Add(silentLossDelay), runs: make(map[Run]bool)}
	}
	for _, suspect := range observed {
		pending.runs[Run{suspect.Task, suspect.Attempt}] = true
	}
	if merged.Evidence == isolator.Silent {
		scheduler.unshared[key] = pending
		scheduler.emit(LossRecorded{Loss: merged, Discovered: discovered})
		return
	}
	scheduler.emitSharedLoss(key, pending, merged, discovered)
}

// emitSharedLoss sends the runs of a loss that this instance has observed.
func (scheduler *Scheduler) emitSharedLoss(key lossKey, observed *unsharedLoss, loss isolator.Loss, discovered bool) {
	delete(scheduler.unshared, key)
	scheduler.shared[key] = true
	// The caller goes on using the runs of the loss.
	loss.Suspects = slices.DeleteFunc(slices.Clone(loss.Suspects), func(suspect isolator.Suspect) bool {
		return !observed.runs[Run{suspect.Task, suspect.Attempt}]
	})
	scheduler.emit(LossRecorded{Loss: loss, Share: true, Discovered: discovered})
}

// shareLastingLosses sends the losses of targets that have stayed silent, and forgets the expired ones.
func (scheduler *Scheduler) shareLastingLosses(now time.Time) {
	if len(scheduler.unshared) > 0 {
		for _, loss := range scheduler.isolator.Losses() {
			key := lossKey{loss.Target, loss.Incarnation}
			if pending, ok := scheduler.unshared[key]; ok && !now.Before(pending.dueAt) {
				scheduler.emitSharedLoss(key, pending, loss, false)
			}
		}
	}
	expired := func(key lossKey) bool {
		_, known := scheduler.isolator.LostAt(key.target, key.incarnation)
		return !known
	}
	maps.DeleteFunc(scheduler.shared, func(key lossKey, _ bool) bool { return expired(key) })
	maps.DeleteFunc(scheduler.unshared, func(key lossKey, _ *unsharedLoss) bool { return expired(key) })
}

// withdrawLoss removes an unconfirmed loss of a target that has answered a request sent at the given time.
func (scheduler *Scheduler) withdrawLoss(target *target, sent time.Time) {
	if !scheduler.isolator.Withdraw(target.ID, target.Incarnation, sent) {
		return
	}
	key := lossKey{target.ID, target.Incarnation}
	delete(scheduler.unshared, key)
	if scheduler.shared[key] {
		delete(scheduler.shared, key)
		scheduler.emit(LossWithdrawn{Target: target.ID, Incarnation: target.Incarnation})
	}
}

// Losses returns the losses that other instances know, for an instance that may have missed them.
func (scheduler *Scheduler) Losses() []isolator.Loss {
	return slices.DeleteFunc(scheduler.isolator.Losses(), func(loss isolator.Loss) bool {
		_, waiting := scheduler.unshared[lossKey{loss.Target, loss.Incarnation}]
		return waiting && loss.Evidence == isolator.Silent
	})
}
