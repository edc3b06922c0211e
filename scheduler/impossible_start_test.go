package scheduler

import (
	"testing"

	"github.com/matryer/is"
)

// A target that holds a task to be wrong must not be asked to start it again and again because a start of it is outstanding there.
func TestImpossibleStartIsNotRequestedWithoutEnd(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	start := startAgain(scheduler, true)
	scheduler.HandleRepeatedStartResult(&start, StartImpossible, at(62))
	scheduler.HandleStopResult(start.Target, start.Run, true, at(64))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Named: 1, Sent: at(66), Answered: at(67)})
	requested := 0
	for now := 68; now < 2000; now += 2 {
		scheduler.Tick(at(now))
		for _, next := range drain(scheduler).starts {
			requested++
			is.Equal(next.Target, start.Target)
			scheduler.HandleStartResult(next.Target, next.Run, StartImpossible, at(now+1))
		}
	}
	t.Log(requested, "starts requested")
	is.True(requested <= 2)
}
