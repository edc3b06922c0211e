package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/isolator"
)

// sharedLosses returns the losses and withdrawals that a scheduler sends to others.
func sharedLosses(scheduler *Scheduler) ([]LossRecorded, []LossWithdrawn) {
	var losses []LossRecorded
	var withdrawn []LossWithdrawn
	for _, action := range scheduler.TakeActions() {
		switch action := action.(type) {
		case LossRecorded:
			if action.Share {
				losses = append(losses, action)
			}
		case LossWithdrawn:
			withdrawn = append(withdrawn, action)
		}
	}
	return losses, withdrawn
}

// silentTarget returns a scheduler that has just found the target of a run silent.
func silentTarget() (*Scheduler, StartTask) {
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.MarkUnreachable(start.Target, false, at(500))
	return scheduler, start
}

// All instances were notified of each short silence and of its end. On full links these messages outnumbered the requests to
// targets by ten to one and kept the links full.
func TestShortSilenceIsNotSentToOthers(t *testing.T) {
	is := is.New(t)
	scheduler, start := silentTarget()
	scheduler.Sweep(at(600))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: start.Run}}, Sent: at(650), Answered: at(651)})
	for now := 700; now < 1500; now += 100 {
		scheduler.Sweep(at(now))
	}
	losses, withdrawn := sharedLosses(scheduler)
	is.Equal(len(losses), 0)
	is.Equal(len(withdrawn), 0)
}

// The other instances must know a lasting silence before the task may start again, and a withdrawal of what they know.
func TestLastingSilenceIsSentToOthers(t *testing.T) {
	is := is.New(t)
	scheduler, start := silentTarget()
	sharedAt := 0
	for now := 600; now <= 1500 && sharedAt == 0; now += 100 {
		scheduler.Sweep(at(now))
		if losses, _ := sharedLosses(scheduler); len(losses) > 0 {
			sharedAt = now
			is.Equal(len(losses), 1)
			is.Equal(losses[0].Suspects[0].Task, "j.0.0.0")
		}
	}
	is.True(sharedAt > 0 && sharedAt < 500+int(LeaseDuration/time.Millisecond))
	is.Equal(len(scheduler.Losses()), 1)
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Sent: at(1600), Answered: at(1601)})
	_, withdrawn := sharedLosses(scheduler)
	is.Equal(len(withdrawn), 1)
}

// Precautions against tasks that crash their targets depend on fast notification of probable crashes.
func TestProbableCrashIsSentToOthersAtOnce(t *testing.T) {
	is := is.New(t)
	scheduler, start := silentTarget()
	scheduler.MarkUnreachable(start.Target, true, at(510))
	losses, _ := sharedLosses(scheduler)
	is.Equal(len(losses), 1)
	is.Equal(losses[0].Evidence, isolator.Refused)
	is.Equal(losses[0].Suspects[0].Task, "j.0.0.0")
}

// An instance that adds its runs to a loss must not repeat those of others: each of many owners would send all runs to all.
func TestOwnerAddsOnlyItsOwnRunsToALoss(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	start := startOne(scheduler, testJob("j", 1, 900, 0))
	drain(scheduler)
	scheduler.HandlePeerLoss(isolator.Loss{
		Target: start.Target, Incarnation: 1, Address: "127.0.0.1:1", Evidence: isolator.Refused, At: at(500),
		Suspects: []isolator.Suspect{{Task: "other.0.0.0", Attempt: 1, Age: 100 * time.Millisecond, Fate: isolator.Accepted}},
	}, at(501))
	losses, _ := sharedLosses(scheduler)
	is.Equal(len(losses), 1)
	is.Equal(len(losses[0].Suspects), 1)
	is.Equal(losses[0].Suspects[0].Task, "j.0.0.0")
}
