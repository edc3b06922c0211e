package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/isolator"
)

// A sound job whose target ended must not be answered as failed because its next start was sent to a target that had ended
// before, unnoticed, and got no answer.
func TestStartOnATargetThatHadEndedIsNoCrash(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(3)
	start := startOne(scheduler, testJob("j", 1, 400, 0))
	scheduler.MarkUnreachable(start.Target, true, at(10))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Sent: at(700), Answered: at(701)})
	second := drain(scheduler).starts
	is.Equal(len(second), 1)
	scheduler.HandleStartResult(second[0].Target, second[0].Run, StartUnanswered, at(704))
	scheduler.MarkUnreachable(second[0].Target, true, at(705))
	scheduler.HandleStopResult(second[0].Target, second[0].Run, false, at(706))
	scheduler.HandlePoll(second[0].Target, PollResult{Incarnation: 2, Sent: at(1200), Answered: at(1201)})
	for now := 1200; now < 2400; now += 10 {
		scheduler.Tick(at(now))
		for _, answer := range drain(scheduler).answers {
			t.Fatalf("answered %s at %d ms", outcome(answer), now)
		}
	}
}

// The claim of a run whose target had ended before must not count as a crash, wherever the loss is recorded.
func TestClaimIsNoCrash(t *testing.T) {
	is := is.New(t)
	owner, reader := newTestScheduler(3), New("reader", "a")
	reader.SetTargets(testTargets(3), at(0))
	for _, id := range reader.Targets() {
		reader.SetReader(id, true, at(-2000))
	}
	start := startOne(owner, testJob("j", 1, 400, 0))
	owner.MarkUnreachable(start.Target, true, at(10))
	owner.HandlePoll(start.Target, PollResult{Incarnation: 2, Sent: at(700), Answered: at(701)})
	second := drain(owner).starts[0]
	reader.HandlePeerClaim("self", second.Claim, at(702))
	reader.MarkUnreachable(second.Target, true, at(703))
	for _, loss := range reader.Losses() {
		loss.Evidence = isolator.Restarted
		owner.HandlePeerLoss(loss, at(704))
	}
	is.Equal(len(drain(owner).answers), 0)
	owner.HandleStartResult(second.Target, second.Run, StartUnsent, at(705))
	owner.Tick(at(710))
	drained := drain(owner)
	is.Equal(len(drained.answers), 0)
	is.Equal(len(drained.stops), 0)
	is.Equal(len(drained.starts), 1) // at once, on the third target
}

// distinctTargets returns targets with addresses of their own.
func distinctTargets(count int) []Target {
	infos := testTargets(count)
	for number := range infos {
		infos[number].Address = fmt.Sprintf("127.0.0.1:%d", 101+number)
	}
	return infos
}

// startOnFirst starts a job of one task on the first of the targets.
func startOnFirst(t *testing.T, scheduler *Scheduler, infos []Target, job Job) StartTask {
	t.Helper()
	others := slices.Clone(infos)
	for number := range others[1:] {
		others[number+1].Draining = true
	}
	scheduler.SetTargets(others, job.Arrived)
	scheduler.Submit(job, job.Arrived)
	start := drain(scheduler).starts[0]
	if start.Target != infos[0].ID {
		t.Fatal("start on", start.Target)
	}
	acceptStarts(scheduler, []StartTask{start}, job.Arrived.Add(2*time.Millisecond))
	scheduler.SetTargets(infos, job.Arrived.Add(2*time.Millisecond))
	return start
}

// A run that its target lists must not count as lost with the former incarnation, whose restart was noticed late.
func TestRunThatGoesOnIsNotLostWithTheFormerIncarnation(t *testing.T) {
	is := is.New(t)
	owner := New("owner", "a")
	owner.SetTargets(distinctTargets(2), at(-1000))
	start := startOnFirst(t, owner, distinctTargets(4), testJob("j", 1, 900, 0)) // taken by incarnation 2
	// The reader, which knows incarnation 1 too, is cut off from the target.
	owner.HandlePeerLoss(isolator.Loss{Target: "t0", Incarnation: 1, Address: "127.0.0.1:101", Evidence: isolator.Refused, At: at(12), Suspects: []isolator.Suspect{{Task: "j.0.0.0", Attempt: 1, Age: 12 * time.Millisecond, Fate: isolator.Accepted}}}, at(13))
	restarted := distinctTargets(4)
	restarted[0].Incarnation = 2
	owner.SetTargets(restarted, at(100))
	owner.HandlePoll("t0", PollResult{Incarnation: 2, Running: []ActiveRun{{Run: start.Run}}, Sent: at(101), Answered: at(102)})
	is.Equal(owner.assess("j.0.0.0"), isolator.Free)
}

// A cut that looks like a crash, and one crash of the next incarnation, must not give a sound job up.
func TestRunOnUnnoticedIncarnationIsNotGivenUpAfterOneCrash(t *testing.T) {
	owner, reader := New("owner", "a"), New("reader", "a")
	owner.SetTargets(distinctTargets(4), at(-1000))
	reader.SetTargets(distinctTargets(4), at(-1000))
	reader.SetReader("t0", true, at(-2000))
	start := startOnFirst(t, owner, distinctTargets(4), testJob("j", 1, 900, 0)) // taken by incarnation 2
	reader.HandlePeerClaim("owner", start.Claim, at(2))
	reader.MarkUnreachable("t0", true, at(12)) // the reader's connections are refused by a cut; the target goes on
	for _, loss := range reader.Losses() {
		owner.HandlePeerLoss(loss, at(13))
	}
	restarted := distinctTargets(4)
	restarted[0].Incarnation = 2
	owner.SetTargets(restarted, at(100))
	owner.HandlePoll("t0", PollResult{Incarnation: 2, Running: []ActiveRun{{Run: start.Run}}, Sent: at(101), Answered: at(102)})
	owner.MarkUnreachable("t0", true, at(300)) // the only crash under the task
	restarted[0].Incarnation = 3
	owner.SetTargets(restarted, at(900))
	for _, answer := range drain(owner).answers {
		t.Errorf("the job was answered %q after one crash", outcome(answer))
	}
}

// A start that the next incarnation took must not count as lost with the former one.
func TestStartTakenByNextIncarnationIsNotLost(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	scheduler.SetTargets(distinctTargets(2), at(0))
	start := drain(scheduler).starts[0]
	// Another run is known on the target, so that its loss is recorded; the start is under way.
	scheduler.HandlePeerClaim("peer", Claim{Target: start.Target, Run: Run{"p.0.0.0", 1}, Resources: Resources{MilliCores: 14000}, Incarnation: 1, Age: 100 * time.Millisecond}, at(1))
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 1, Running: []ActiveRun{{Run: Run{"p.0.0.0", 1}}}, Sent: at(1), Answered: at(2)})
	scheduler.MarkUnreachable(start.Target, true, at(5))
	scheduler.HandleStartResult(start.Target, start.Run, StartTaken, at(40)) // by incarnation 2
	scheduler.HandlePoll(start.Target, PollResult{Incarnation: 2, Running: []ActiveRun{{Run: start.Run}}, Sent: at(41), Answered: at(42)})
	is.True(!scheduler.isolator.Suspected("j.0.0.0"))
}

// Instances that know a target by different incarnations must not count one crash twice.
func TestOneCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	owner, reader := New("owner", "a"), New("reader", "a")
	infos := distinctTargets(4)
	owner.SetTargets(infos, at(-1000))
	restarted := distinctTargets(4)
	restarted[0].Incarnation = 2
	reader.SetTargets(restarted, at(-1000)) // the owner has not learned of the restart
	reader.SetReader("t0", true, at(-2000))
	start := startOnFirst(t, owner, infos, testJob("j", 1, 900, 0))
	reader.HandlePeerClaim("owner", start.Claim, at(2))
	reader.HandlePoll("t0", PollResult{Incarnation: 2, Running: []ActiveRun{{Run: start.Run}}, Sent: at(3), Answered: at(4)})
	// The only crash. The link between the two instances is cut for two seconds.
	reader.MarkUnreachable("t0", true, at(12))
	is.Equal(len(reader.Losses()), 1)
	is.Equal(reader.Losses()[0].Incarnation, int64(2))
	owner.MarkUnreachable("t0", true, at(700)) // polls of the owner, without reports of the reader
	reader.HandlePoll("t0", PollResult{Incarnation: 3, Sent: at(900), Answered: at(901)})
	var second []StartTask
	for now := 700; now < 1500 && len(second) == 0; now += 10 {
		owner.Tick(at(now))
		second = drain(owner).starts
	}
	is.Equal(len(second), 1)
	acceptStarts(owner, second, at(1500))
	restarted[0].Incarnation = 3
	for _, loss := range reader.Losses() {
		owner.HandlePeerLoss(loss, at(1550))
	}
	owner.SetTargets(restarted, at(1600))
	for _, answer := range drain(owner).answers {
		t.Errorf("the job was answered %q after one crash", outcome(answer))
	}
	is.True(owner.assess("j.0.0.0") < isolator.Held)
}

// A job that is answered as failed because of crashes must come with the losses that count against its task.
func TestTaskIsGivenUpWithItsLosses(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(48)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	var givenUp []TaskGivenUp
	now, crashes := 0, 0
	for ; now < 3000 && len(givenUp) == 0; now += 10 {
		scheduler.Tick(at(now))
		for _, action := range scheduler.TakeActions() {
			switch action := action.(type) {
			case StartTask:
				scheduler.HandleStartResult(action.Target, action.Run, StartTaken, at(now+2))
				scheduler.MarkUnreachable(action.Target, true, at(now+9))
				scheduler.HandlePoll(action.Target, PollResult{Incarnation: 2, Sent: at(now + 600), Answered: at(now + 601)})
				crashes++
			case TaskGivenUp:
				givenUp = append(givenUp, action)
			}
		}
	}
	is.Equal(len(givenUp), 1)
	is.Equal(len(givenUp[0].Losses), crashes)
	for _, loss := range givenUp[0].Losses {
		is.Equal(loss.Suspect.Fate, isolator.Accepted)
		is.Equal(loss.Observer, "self")
		is.True(loss.Alone)
	}
}

// A start that got no answer must not count as accepted because the next incarnation accepted its stop.
func TestStopOnTheNextIncarnationAcceptsNoStart(t *testing.T) {
	is := is.New(t)
	scheduler := newTestScheduler(2)
	scheduler.Submit(testJob("j", 1, 400, 0), at(0))
	start := drain(scheduler).starts[0]
	scheduler.HandleStartResult(start.Target, start.Run, StartUnanswered, at(60))
	infos := testTargets(2)
	for number := range infos {
		if infos[number].ID == start.Target {
			infos[number].Incarnation = 2
		}
	}
	scheduler.SetTargets(infos, at(70))
	scheduler.HandleStopResult(start.Target, start.Run, true, at(80))
	listNothing(scheduler, start.Target, 2, 82)
	found := false
	for _, loss := range scheduler.Losses() {
		for _, suspect := range loss.Suspects {
			found = true
			is.Equal(suspect.Fate, isolator.Unanswered)
		}
	}
	is.True(found)
}
