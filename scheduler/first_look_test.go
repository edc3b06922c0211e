package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// newStartedScheduler returns the scheduler of an instance that has started together with "reader": it reads t0, which lists nothing, and
// the other one reads t1.
func newStartedScheduler() *Scheduler {
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(0))
	scheduler.AwaitFirstLook(at(0), at(200))
	scheduler.SetPeers(Peers{Answering: []string{"reader"}, Starting: []string{"reader"}, Complete: true})
	scheduler.SetReader("t0", true, at(0))
	scheduler.SetReader("t1", false, at(0))
	scheduler.AttachReader("t1", "reader", at(0))
	return scheduler
}

func listIdle(scheduler *Scheduler, target string, incarnation int64, now int) {
	scheduler.HandlePoll(target, PollResult{Incarnation: incarnation, Named: incarnation, Address: "127.0.0.1:1", Sent: at(now), Answered: at(now)})
}

// checkLook handles what a tick does, and returns the number of starts.
func checkLook(scheduler *Scheduler, oldest, now int) int {
	scheduler.RecordBroadcast("reader", at(now))
	scheduler.CheckFirstLook(at(oldest), at(now))
	scheduler.Tick(at(now))
	return len(drain(scheduler).starts)
}

// After a restart of all instances, a job that was sent again started on a target that had been looked at, while a run of it went on
// on one that had not.
func TestNothingStartsBeforeAllTargetsAreLookedAt(t *testing.T) {
	lookedAt := CapacityReport{Target: "t1", Reporter: "reader", Incarnation: 1, FreeCapacity: testTarget(1).Capacity}
	full, unreachable, former := lookedAt, CapacityReport{Target: "t1", Reporter: "reader", Unreachable: true}, CapacityReport{Target: "t1", Reporter: "reader"}
	full.FreeCapacity = Resources{}
	bound := int(maxFirstLook / time.Millisecond)
	tests := []struct {
		name   string
		report *CapacityReport
		oldest int
		now    int
		want   int
	}{
		{"the other target has not been looked at", nil, 0, 400, 0},
		{"its reader has not looked at it either", &former, 0, 400, 0},
		{"looked at", &lookedAt, 0, 400, 1},
		{"looked at, no capacity", &full, 0, 400, 1},
		{"unreachable", &unreachable, 0, 400, 1},
		{"for as long as leases last", nil, 0, bound - 1, 0},
		{"no longer than leases last", nil, 0, bound, 1},
		{"another instance has been running for a short time", nil, 401 - bound, 400, 0},
		{"an older instance is known", nil, 400 - bound, 400, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newStartedScheduler()
			listIdle(scheduler, "t0", 1, 300)
			if test.report != nil {
				scheduler.HandlePeerReport(*test.report, at(350))
			}
			scheduler.Submit(testJob("j", 1, 900, test.now), at(test.now))
			is.Equal(checkLook(scheduler, test.oldest, test.now), test.want)
		})
	}
}

// A target that has restarted since it was looked at carries out orders for its former incarnation.
func TestRestartedTargetIsLookedAtAgain(t *testing.T) {
	is := is.New(t)
	scheduler := newStartedScheduler()
	listIdle(scheduler, "t0", 1, 300)
	scheduler.HandlePeerReport(CapacityReport{Target: "t1", Reporter: "reader", Incarnation: 1, FreeCapacity: testTarget(1).Capacity}, at(301))
	scheduler.HandlePeerRestart("t0", 2, at(302))
	scheduler.Submit(testJob("j", 1, 900, 303), at(303))
	is.Equal(checkLook(scheduler, 0, 303), 0)
	listIdle(scheduler, "t0", 2, 304)
	is.Equal(checkLook(scheduler, 0, 305), 1)
}

// An instance that hears that a target has been looked at, and not which runs without an owner were found there, starts their tasks
// again.
func TestLookIsReportedAfterTheQueriesForOwners(t *testing.T) {
	is := is.New(t)
	scheduler := newStartedScheduler()
	run := Run{"j.0.0.0", 1}
	scheduler.HandlePoll("t0", PollResult{
		Incarnation: 1, Named: 1, Address: "127.0.0.1:1", Running: []ActiveRun{{Run: run, MilliCores: 1000}}, Sent: at(300), Answered: at(300),
	})
	scheduler.StopOrphans("t0", func(string) bool { return true }, at(300))
	is.Equal(len(scheduler.DueReports(at(300))), 0)
	is.Equal(len(scheduler.Reports(at(300))), 0)
	_, due := scheduler.RenewalReport("t0", at(300))
	is.True(!due)
	is.Equal(scheduler.UnownedRuns(), []OwnedRun{{"t0", 1, run}}) // for instances that connect later
	query := scheduler.TakeActions()[0].(QueryOwner)
	is.Equal(query.To, []string{"reader"})
	scheduler.HandlePeerDisowned("reader", query.OwnedRun, at(302))
	is.Equal(len(scheduler.DueReports(at(302))), 1)
	is.Equal(len(scheduler.Reports(at(302))), 1)
}

// A job waits on the reader of the target that lists an earlier run of it: the reader asks others for the owner, and not itself.
func TestWaitingTaskOutwaitsARunThatItsInstanceLists(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	for _, target := range scheduler.targets {
		target.heldUntil = at(10)
	}
	scheduler.Submit(testJob("j", 1, 900, 0), at(0))
	running := PollResult{Incarnation: 1, Running: []ActiveRun{{Run: Run{"j.0.0.0", 1}, MilliCores: 1000}}, Sent: at(5), Answered: at(5)}
	scheduler.HandlePoll("t1", running)
	scheduler.Tick(at(20))
	is.Equal(len(drain(scheduler).starts), 0)
	listIdle(scheduler, "t1", 1, 200)
	listIdle(scheduler, "t1", 1, 400)
	scheduler.Tick(at(401))
	is.Equal(len(drain(scheduler).starts), 1)
}

// A job that has less time than the instances need to look at the targets must be refused at once, and one that has more must wait.
func TestJobsDuringTheFirstLook(t *testing.T) {
	is := is.New(t)
	scheduler := newStartedScheduler()
	scheduler.Submit(testJob("short", 1, 100, 100), at(100))
	answers := drain(scheduler).answers
	is.Equal(len(answers), 1)
	refused := answers[0].Outcome.(dispatcher.Refused)
	is.Equal(refused.Detail(), "no room in time")
	is.Equal(refused.RetryAt(), at(100).Add(minRetryAfter))
	scheduler.Submit(testJob("long", 1, 900, 100), at(100))
	is.Equal(len(drain(scheduler).answers), 0)
}
