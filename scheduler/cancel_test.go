package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A cancelled job must not start, however it arrives, until its caller no longer waits; the memory for cancellations is bounded.
func TestCancelledJobDoesNotStart(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	is.True(!scheduler.Cancel(Cancellation{Job: "j", At: at(0)}, at(0)))
	scheduler.Submit(testJob("j", 1, 100, 10), at(10))
	answered := drain(scheduler)
	is.Equal(len(answered.starts), 0)
	is.Equal(outcome(answered.answers[0]), "unknown")
	scheduler.Submit(testJob("k", 1, 100, 10), at(10))
	is.True(scheduler.Cancel(Cancellation{Job: "k", At: at(20)}, at(20)))
	stopped := drain(scheduler)
	is.Equal(len(stopped.stops), 1)
	scheduler.Sweep(at(int(cancellationRetention/time.Millisecond) - 1))
	is.True(scheduler.Cancelled("j"))
	scheduler.Sweep(at(int(cancellationRetention / time.Millisecond)))
	is.True(!scheduler.Cancelled("j"))
	is.True(scheduler.Cancelled("k"))
	for number := range maxCancellations + 5 {
		scheduler.Cancel(Cancellation{Job: fmt.Sprint(number), At: at(100)}, at(100))
	}
	is.Equal(len(scheduler.Cancellations()), maxCancellations)
	is.Equal(len(scheduler.cancelledAt), maxCancellations)
	is.True(!scheduler.Cancelled("4"))
	is.True(scheduler.Cancelled("5"))
}
