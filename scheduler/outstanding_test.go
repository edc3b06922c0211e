package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The record of a lost run must say for how long a start without an answer may still be carried out; nothing else explains a
// second run after a restart of the target.
func TestRecordOfALostRunNamesAnOutstandingStart(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	start := startUnanswered(scheduler)
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Sent: at(70), Answered: at(71)})
	var lost []RunLost
	for _, action := range scheduler.TakeActions() {
		if action, ok := action.(RunLost); ok {
			lost = append(lost, action)
		}
	}
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Outstanding, maxRequestDelay-11*time.Millisecond)
	is.Equal(scheduler.OutstandingStarts(), 1)
}

// A restart must be recorded with its evidence, and the first answer to a request that names the new incarnation once, from when on
// the target refuses former orders.
func TestRestartIsRecordedWithItsEvidence(t *testing.T) {
	news := []struct {
		learn    func(*Scheduler)
		evidence RestartEvidence
	}{
		{func(scheduler *Scheduler) {
			scheduler.HandlePoll("t0", PollResult{Incarnation: 2, Named: 1, Sent: at(1000), Answered: at(1001)})
		}, RestartAnswered},
		{func(scheduler *Scheduler) { scheduler.HandlePeerRestart("t0", 2, at(1001)) }, RestartReported},
		{func(scheduler *Scheduler) { scheduler.SetTargets([]Target{moved(2, "127.0.0.1:1")}, at(1001)) }, RestartDiscovered},
	}
	for _, test := range news {
		t.Run(string(test.evidence), func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			scheduler.SetTargets([]Target{moved(1, "127.0.0.1:1")}, at(-1000))
			scheduler.TakeActions()
			test.learn(scheduler)
			actions := scheduler.TakeActions()
			restart := slices.IndexFunc(actions, func(action Action) bool { _, ok := action.(TargetRestarted); return ok })
			is.Equal(actions[restart].(TargetRestarted).Evidence, test.evidence)
			var guards []TargetGuarded
			for _, answered := range []int{1010, 1020} {
				scheduler.HandlePoll("t0", PollResult{Incarnation: 2, Named: 2, Sent: at(answered - 1), Answered: at(answered)})
			}
			for _, action := range append(actions, scheduler.TakeActions()...) {
				if action, ok := action.(TargetGuarded); ok {
					guards = append(guards, action)
				}
			}
			is.Equal(guards, []TargetGuarded{{
				Target: "t0", Incarnation: 2, After: 9 * time.Millisecond, At: at(1010), Asker: AskerOther,
			}})
		})
	}
}

// The record must say who sent the first answered request that names the new incarnation.
func TestGuardTellsWhoAsked(t *testing.T) {
	tests := []struct {
		reads, starts bool
		asker         GuardAsker
	}{{false, false, AskerOther}, {false, true, AskerOwner}, {true, false, AskerReader}, {true, true, AskerReader}}
	for _, test := range tests {
		is := is.New(t)
		scheduler := New("self", "a")
		scheduler.SetTargets([]Target{moved(1, "127.0.0.1:1")}, at(-1000))
		scheduler.SetReader("t0", test.reads, at(-1000))
		outstanding := 0
		if test.starts {
			scheduler.recordLateStart(scheduler.targets["t0"], Run{Task: "j.0.0.0", Attempt: 1}, at(900))
			outstanding = 1
		}
		scheduler.HandlePeerRestart("t0", 2, at(1030))
		scheduler.HandlePoll("t0", PollResult{Incarnation: 2, Named: 2, Sent: at(1035), Answered: at(1040)})
		var guards []TargetGuarded
		for _, action := range scheduler.TakeActions() {
			if action, ok := action.(TargetGuarded); ok {
				guards = append(guards, action)
			}
		}
		is.Equal(guards, []TargetGuarded{{
			Target: "t0", Incarnation: 2, After: 10 * time.Millisecond, At: at(1040), Asker: test.asker, Outstanding: outstanding,
		}})
	}
}
