package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// resendDelay is the time from a lost answer until the caller sends its job again.
const resendDelay = 1300

// unstoppable plays a target on which a run ignores all stop requests, and the instances that use it: the owner of the run,
// the reader of the target and a third instance, which keeps starting other tasks there.
type unstoppable struct {
	owner, reader, third *Scheduler
	run                  Run
	// events holds messages and results by the time at which they arrive.
	events   map[int][]func(now time.Time)
	leaseEnd int
	// requests counts the stop requests, and answeredFrom is the number of the first one that is answered; 0 for none.
	requests, answeredFrom int
	// answeredAt is when the job was answered.
	answeredAt int
}

func newUnstoppable(t *testing.T) *unstoppable {
	t.Helper()
	unstoppable := &unstoppable{owner: New("owner", "a"), reader: New("reader", "a"), third: New("third", "a"), events: make(map[int][]func(time.Time))}
	for _, scheduler := range unstoppable.all() {
		scheduler.SetTargets(distinctTargets(1), at(-1000))
	}
	readIdle(unstoppable.reader, "t0", -2000)
	job := testJob("j", 1, 400, 0)
	job.Deadline = at(500)
	unstoppable.owner.Submit(job, at(0))
	start := drain(unstoppable.owner).starts[0]
	unstoppable.run = start.Run
	acceptStarts(unstoppable.owner, []StartTask{start}, at(1))
	unstoppable.reader.HandlePeerClaim("owner", start.Claim, at(2))
	return unstoppable
}

func (unstoppable *unstoppable) all() []*Scheduler {
	return []*Scheduler{unstoppable.owner, unstoppable.reader, unstoppable.third}
}

func (unstoppable *unstoppable) after(now, delay int, do func(now time.Time)) {
	unstoppable.events[now+delay] = append(unstoppable.events[now+delay], do)
}

// play plays the instances until the end, and returns when the run has ended, or -1.
func (unstoppable *unstoppable) play(from, to int) int {
	for now := from; now < to; now++ {
		for _, do := range unstoppable.events[now] {
			do(at(now))
		}
		if now%10 == 0 {
			unstoppable.owner.Tick(at(now))
		}
		if now%50 == 0 {
			unstoppable.poll(now)
		}
		if now%100 == 0 {
			for _, scheduler := range unstoppable.all() {
				scheduler.Sweep(at(now))
			}
			unstoppable.reader.StopOrphans("t0", func(string) bool { return true }, at(now))
			// Another job keeps the target in use.
			id := "k" + at(now).Format("05.000")
			unstoppable.third.Submit(testJob(id, 1, 60, now), at(now))
			unstoppable.after(now, 60, func(when time.Time) { unstoppable.third.Abandon(id, "done", when) })
		}
		for _, scheduler := range unstoppable.all() {
			unstoppable.carryOut(scheduler, now)
		}
		// The target's clock is 2% slow.
		if now*100 >= unstoppable.leaseEnd*102 {
			return now
		}
	}
	return -1
}

// poll lets the reader poll the target, which lists the run.
func (unstoppable *unstoppable) poll(now int) {
	state := unstoppable.reader.TargetState("t0")
	if state.MayRenew(at(now)) {
		unstoppable.leaseEnd = now + 1000
	}
	unstoppable.reader.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: unstoppable.run}}, Sent: at(now - 1), Answered: at(now)})
}

func (unstoppable *unstoppable) carryOut(scheduler *Scheduler, now int) {
	for _, action := range scheduler.TakeActions() {
		switch action := action.(type) {
		case StartTask:
			unstoppable.leaseEnd = now + 1000
			unstoppable.after(now, 1, func(when time.Time) { scheduler.HandleStartResult(action.Target, action.Run, StartTaken, when) })
		case StopRun:
			answered := action.Run != unstoppable.run
			if !answered {
				unstoppable.requests++
				answered = unstoppable.answeredFrom > 0 && unstoppable.requests >= unstoppable.answeredFrom
			}
			delay := 120
			if answered {
				delay = 1
			}
			unstoppable.after(now, delay, func(when time.Time) { scheduler.HandleStopResult(action.RunTarget.ID, action.Run, answered, when) })
		case AnswerJob:
			if scheduler == unstoppable.owner {
				unstoppable.answeredAt = now
			}
		case RelayStop:
			if scheduler != unstoppable.reader {
				unstoppable.after(now, 2, func(time.Time) { unstoppable.reader.HandlePeerStop(scheduler.self, action.Target, action.Run) })
			}
		case SuspendRenewals:
			for _, peer := range unstoppable.all() {
				if peer != scheduler {
					unstoppable.after(now, 2, func(when time.Time) { peer.HandlePeerSuspension(scheduler.self, action.Suspension, when) })
				}
			}
		}
	}
}

// A run whose target answers no stop request must end before the caller, which was answered 504, sends the job again. The lease
// is also renewed by the reader, and by the starts of others.
func TestUnstoppableRunLapsesBeforeItsJobComesAgain(t *testing.T) {
	is := is.New(t)
	unstoppable := newUnstoppable(t)
	unstoppable.leaseEnd = 1000
	endedAt := unstoppable.play(3, 4000)
	is.True(unstoppable.answeredAt > 0)
	is.True(endedAt > unstoppable.answeredAt)
	is.True(endedAt < unstoppable.answeredAt+resendDelay)
	is.True(unstoppable.requests > StopAttempts) // and the stop was requested all the while
}

// Once the target answers a stop request, its lease must be renewed again and the target get work, or the other runs there lapse.
func TestRenewalsResumeOnceARunIsStopped(t *testing.T) {
	is := is.New(t)
	unstoppable := newUnstoppable(t)
	unstoppable.leaseEnd, unstoppable.answeredFrom = 1000, 3
	unstoppable.play(3, 1000)
	is.True(unstoppable.requests >= unstoppable.answeredFrom)
	for _, scheduler := range unstoppable.all() {
		is.True(!at(1000).Before(scheduler.TargetState("t0").UnrenewedUntil))
		is.True(scheduler.targets["t0"].usable(at(1000)))
	}
}

// An instance to which the job is sent again must not start a task while its run of the earlier submission may go on.
func TestTaskWaitsForItsUnstoppableRun(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	run := Run{"j.0.0.0", 1}
	suspension := Suspension{Target: "t0", Incarnation: 1, Run: run, Until: at(600)}
	scheduler.HandlePeerSuspension("peer", suspension, at(0))
	scheduler.Submit(testJob("j", 1, 400, 0), at(100))
	scheduler.Submit(testJob("k", 1, 400, 0), at(100))
	others := drain(scheduler).starts
	is.Equal(len(others), 1)
	is.Equal(others[0].Job, "k")
	is.Equal(others[0].Target, "t1")
	scheduler.Tick(at(590))
	waiting := drain(scheduler)
	is.Equal(len(waiting.starts), 0)
	is.Equal(len(waiting.answers), 0) // nor may the job be refused as not run
	suspension.Until = time.Time{}
	scheduler.HandlePeerSuspension("peer", suspension, at(595))
	is.Equal(len(drain(scheduler).starts), 1)
}

// A suspension must not hold up a later incarnation of the target, which does not have the run.
func TestSuspensionEndsWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.HandlePeerSuspension("peer", Suspension{Target: "t0", Incarnation: 1, Run: Run{"j.0.0.0", 1}, Until: at(600)}, at(0))
	is.True(!scheduler.targets["t0"].usable(at(100)))
	scheduler.HandlePoll("t0", PollResult{Incarnation: 2, Sent: at(100), Answered: at(101)})
	scheduler.SetTargets([]Target{moved(2, "127.0.0.1:1")}, at(102))
	is.True(scheduler.targets["t0"].usable(at(102)))
	is.True(!scheduler.mayStillRun("j.0.0.0", at(102)))
}

// A task whose start and first stop got no answer must start again as soon as a later stop is answered.
func TestLaterStopReleasesTheTask(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(60))
	scheduler.HandleStopResult(start.Target, start.Run, false, at(180))
	drain(scheduler)
	scheduler.Tick(at(260))
	is.Equal(len(drain(scheduler).stops), 1)
	scheduler.HandleStopResult(start.Target, start.Run, true, at(262))
	scheduler.Tick(at(264))
	is.Equal(len(drain(scheduler).starts), 0)
	listNothing(scheduler, start.Target, 1, 265)
	is.Equal(len(drain(scheduler).starts), 1)
	scheduler.Sweep(at(1000))
	is.Equal(len(drain(scheduler).stops), 0)
}

// A late request to stop a run of an earlier submission must not stop the run of the instance to which the job was sent again.
func TestRelayedStopSparesTheRunOfAnotherOwner(t *testing.T) {
	is := is.New(t)
	reader := newTestScheduler(1)
	claim := Claim{Target: "t0", Run: Run{"j.0.0.0", 1}, Resources: Resources{MilliCores: 14000}, Incarnation: 1}
	reader.HandlePeerClaim("present", claim, at(0))
	reader.HandlePeerStop("former", "t0", claim.Run)
	is.Equal(len(drain(reader).stops), 0)
	reader.HandlePeerStop("present", "t0", claim.Run)
	is.Equal(len(drain(reader).stops), 1)
}

// A sound task whose start got no answer because its target crashed must start again once the target is back, although its other
// runs renew the lease: it waited for its deadline (crash test of the platform with the race detector, 2 plays of 40 in parallel).
func TestTaskWithUnansweredStartOnCrashedTargetStartsAgain(t *testing.T) {
	is := is.New(t)
	scheduler := New("self", "a")
	scheduler.SetTargets(testTargets(2), at(-1000))
	scheduler.Submit(testJob("j", 1, 100, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(14))
	scheduler.HandleStopResult(start.Target, start.Run, false, at(35)) // refused: the target is down
	drain(scheduler)
	restartedAt := -1
	for now := 40; now < 2500 && restartedAt < 0; now += 10 {
		if now%150 == 0 {
			scheduler.HandlePeerReport(CapacityReport{Target: start.Target, Reporter: "reader", FreeCapacity: Resources{MilliCores: 32000}}, at(now))
		}
		if now == 820 {
			scheduler.HandlePeerRestart(start.Target, 2, at(now))
		}
		if next, ok := scheduler.NextList(start.Target); ok && at(now).After(next) {
			listNothing(scheduler, start.Target, 2, now)
		}
		scheduler.Tick(at(now))
		actions := drain(scheduler)
		for _, stop := range actions.stops {
			if now >= 820 {
				scheduler.HandleAccepted(stop.RunTarget, at(now+1))
			}
			scheduler.HandleStopResult(stop.RunTarget.ID, stop.Run, now >= 820, at(now+1))
		}
		if len(actions.starts) > 0 {
			restartedAt = now
		}
	}
	is.True(restartedAt >= 820)
	is.True(restartedAt < 1000)
}

// Requests to stop a run must become rarer while they get no answer: on a full link of 2 Mbit/s, each one delays the others, and
// 18 instances that repeated them ten times a second sent up to a thousand a second without an answer.
func TestStopsAreRepeatedLessOften(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	startOne(scheduler, testJob("j", 1, 900, 0))
	scheduler.Abandon("j", "the caller left", at(10))
	var requested []int
	attempts := 0
	for now := 10; now < 1100; now += 10 {
		scheduler.Tick(at(now))
		actions := drain(scheduler)
		for _, stop := range actions.stops {
			requested = append(requested, now)
			attempts += stop.Attempts()
			scheduler.HandleStopResult(stop.RunTarget.ID, stop.Run, false, at(now))
		}
		is.True(len(actions.relays) <= 1)
	}
	is.Equal(requested, []int{10, 210, 610, 1010})
	is.Equal(attempts, 5)
}
