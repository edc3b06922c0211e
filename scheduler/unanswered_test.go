package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An unanswered start must take its own claim out of use and not the whole target: the rest of the target gets work at
// once. A target that answers nothing must still be set aside.
func TestUnansweredStartKeepsItsTargetInUse(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(1)
	scheduler.Submit(testJob("j", 1, 100, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(60))
	scheduler.Submit(testJob("k", 1, 100, 61), at(61))
	second := drain(scheduler).starts
	is.Equal(len(second), 1) // the other half of the target
	scheduler.HandleStartResult(second[0].Target, second[0].Run, StartUnanswered, at(121))
	scheduler.HandleStopResult(start.Target, start.Run, false, at(180))
	scheduler.HandleStopResult(second[0].Target, second[0].Run, false, at(241))
	is.True(scheduler.TargetState(start.Target).Unreachable)
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Sent: at(300), Answered: at(302)})
	is.True(!scheduler.TargetState(start.Target).Unreachable)
}

// listAccepted delivers a list of a target that shows the runs whose starts were answered.
func listAccepted(scheduler *Scheduler, targetID string, now int) {
	poll := PollResult{Incarnation: 1, Sent: at(now), Answered: at(now)}
	for _, run := range sortedRuns(scheduler.targets[targetID].allocations) {
		if !scheduler.targets[targetID].allocations[run].confirmedAt.IsZero() {
			poll.Running = append(poll.Running, ActiveRun{Run: run})
		}
	}
	scheduler.HandlePoll(targetID, poll)
}

// Replays a load with three starts and one stop in ten unanswered, as on the load test day deploy/days/lost-orders.toml.
// Half of the capacity suffices for the load. No job may be refused, and at
// most one start in a hundred may find fewer than half of the targets usable.
func TestLoadWithUnansweredStartsIsServed(t *testing.T) {
	const targets, duration = 16, 4000
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	scheduler := newTestScheduler(targets)
	events := make(map[int][]func(now time.Time))
	schedule := func(when int, handle func(now time.Time)) { events[when] = append(events[when], handle) }
	refused, starts, scarce, seq := 0, 0, 0, int64(0)
	for now := range duration {
		for _, handle := range events[now] {
			handle(at(now))
		}
		if now%25 == 0 {
			scheduler.Submit(testJob(fmt.Sprintf("j%d", now), 2, 100, now), at(now))
		}
		if now%10 == 0 {
			for _, id := range scheduler.Targets() {
				if next, ok := scheduler.NextList(id); ok && at(now).After(next) {
					listAccepted(scheduler, id, now)
				}
			}
			scheduler.Tick(at(now))
		}
		actions := drain(scheduler)
		for _, start := range actions.starts {
			starts++
			usable := 0
			for _, target := range scheduler.targets {
				if target.usable(at(now)) {
					usable++
				}
			}
			if usable < targets/2 {
				scarce++
			}
			if random.IntN(10) < 3 {
				schedule(now+60, func(when time.Time) {
					scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, when)
				})
				continue
			}
			schedule(now+5, func(when time.Time) { scheduler.HandleStartResult(start.Target, start.Run, StartTaken, when) })
			seq++
			end := End{Seq: seq, Run: start.Run, Cause: Done}
			schedule(now+100, func(when time.Time) { scheduler.HandleEnd(start.Target, end, when) })
		}
		for _, stop := range actions.stops {
			answered := random.IntN(10) >= 1
			schedule(now+65, func(when time.Time) {
				scheduler.HandleStopResult(stop.RunTarget.ID, stop.Run, answered, when)
			})
		}
		for _, answer := range actions.answers {
			if !answer.Started {
				refused++
			}
		}
	}
	is.True(starts > 300)
	is.Equal(refused, 0)
	is.True(100*scarce <= starts)
}

// A dial that takes too long says nothing about its target: the link or the processor of this instance may be full. When each one
// made its target unreachable for this instance, and all instances were notified of the loss, instances with links of 2 Mbit/s
// set most targets aside within four seconds.
func TestLateConnectionIsNoLossOfTheTarget(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnconnected, at(60))
	var starts []StartTask
	for _, action := range scheduler.TakeActions() {
		switch action := action.(type) {
		case LossRecorded:
			t.Errorf("loss of %s", action.Target)
		case StartTask:
			starts = append(starts, action)
		}
	}
	is.Equal(len(starts), 1)
	is.True(starts[0].Target != start.Target)
	is.True(!scheduler.TargetState(start.Target).Unreachable)
	scheduler.Submit(testJob("k", 3, 400, 61), at(61)) // one task fits beside the other, one waits
	for _, start := range drain(scheduler).starts {
		is.True(start.Target == starts[0].Target)
	}
	scheduler.Tick(at(60 + int(unconnectedBackoff/time.Millisecond)))
	is.True(len(drain(scheduler).starts) > 0)
}
