package gossiper

import (
	"time"

	"github.com/hyssoplift/hyssoplift/isolator"
	"github.com/hyssoplift/hyssoplift/linker"
)

// SendLoss sends a loss to an instance without delay.
func (gossiper *Gossiper) SendLoss(to string, loss *isolator.Loss) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(to, true)
	update.Losses = append(update.Losses, encodeLoss(loss, gossiper.now()))
}

// BroadcastLoss sends a loss to all instances without delay.
func (gossiper *Gossiper) BroadcastLoss(loss *isolator.Loss) {
	now := gossiper.now()
	gossiper.updateAll(0, func(update *linker.StateUpdate) { update.Losses = append(update.Losses, encodeLoss(loss, now)) })
}

// BroadcastResponding notifies all instances without delay that an incarnation of a target that counted as lost responds.
func (gossiper *Gossiper) BroadcastResponding(target string, incarnation int64) {
	gossiper.updateAll(0, func(update *linker.StateUpdate) {
		update.Responding = append(update.Responding, linker.TargetIncarnation{Target: target, Incarnation: incarnation})
	})
}

// BroadcastRestart notifies all instances without delay that a target has a new incarnation.
func (gossiper *Gossiper) BroadcastRestart(target string, incarnation int64) {
	gossiper.updateAll(0, func(update *linker.StateUpdate) {
		update.Restarts = append(update.Restarts, linker.TargetIncarnation{Target: target, Incarnation: incarnation})
	})
}

// updateAll extends the pending state updates to all instances that are not lost and understand the revision.
func (gossiper *Gossiper) updateAll(revision int, extend func(*linker.StateUpdate)) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	for incarnation, peer := range gossiper.peers {
		if !peer.lost && peer.hello.Revision >= revision {
			extend(gossiper.updateFor(incarnation, true))
		}
	}
}

// BroadcastVerified notifies all instances without delay which incarnation of a target has answered.
func (gossiper *Gossiper) BroadcastVerified(target string, incarnation int64) {
	gossiper.updateAll(linker.RevisionOwnership, func(update *linker.StateUpdate) {
		update.Verified = append(update.Verified, linker.TargetIncarnation{Target: target, Incarnation: incarnation})
	})
}

// encodeLoss returns the message for a loss. Routes and host names have longer names than a message carries; both may be unknown.
func encodeLoss(loss *isolator.Loss, now time.Time) linker.Loss {
	encoded := linker.Loss{
		Target: loss.Target, Incarnation: loss.Incarnation, Address: linker.OptionalText(loss.Address), Evidence: int64(loss.Evidence), AgeMS: now.Sub(loss.At).Milliseconds(), Observer: loss.Observer,
	}
	for _, suspect := range loss.Suspects {
		encoded.Runs = append(encoded.Runs, linker.LostRun{
			Task: suspect.Task, Attempt: suspect.Attempt, Route: linker.OptionalText(suspect.Route), AgeMS: suspect.Age.Milliseconds(), Cleared: suspect.Cleared, Fate: int64(suspect.Fate),
		})
	}
	return encoded
}
