package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/reserver"
)

// fixedPolicy always or never asks for reservations.
type fixedPolicy bool

func (policy fixedPolicy) Asks(time.Duration) bool { return bool(policy) }

func (fixedPolicy) Record(time.Duration, bool) {}

// newStarter returns an instance whose targets are read by others: t0 by reader-0, t1 by reader-1, and so on.
func newStarter(name string, targets ...Target) *Scheduler {
	scheduler := New(name, "a")
	scheduler.SetTargets(targets, at(0))
	for number, target := range targets {
		reader := fmt.Sprintf("reader-%d", number)
		scheduler.AttachReader(target.ID, reader, at(0))
		scheduler.RecordBroadcast(reader, at(0))
		scheduler.HandlePeerReport(CapacityReport{Target: target.ID, Reporter: reader, FreeCapacity: target.Capacity}, at(0))
	}
	return scheduler
}

// newReader returns the reader of the target t0, which has capacity for one task.
func newReader() *Scheduler {
	scheduler := New("reader-0", "a")
	scheduler.SetTargets([]Target{withCapacity(0, 14000, 1024)}, at(0))
	readIdle(scheduler, "t0", -2000)
	return scheduler
}

func reserve(scheduler *Scheduler, owner string, number, now int) reserver.Answer {
	claim := Claim{Target: "t0", Run: Run{Task: fmt.Sprintf("%s.0.0.%d", owner, number), Attempt: 1}, Resources: Resources{MilliCores: 14000, MemoryMB: 64}, Incarnation: 1}
	answer, _, _ := scheduler.HandlePeerReservation(owner, claim, at(now))
	return answer
}

// Two instances that rely on the same report must not both start on the last free slot, and the one that is denied must neither
// wait nor avoid the target later.
func TestOnlyOneOfTwoReservationsOfASlotIsGranted(t *testing.T) {
	is := is.New(t)
	reader := newReader()
	var answers []reserver.Answer
	for _, name := range []string{"first", "second"} {
		starter := newStarter(name, withCapacity(0, 14000, 1024), withCapacity(1, 14000, 1024))
		starter.reserver = fixedPolicy(true)
		starter.targets["t0"].speed = learnedSpeed{meanLog: 1, runs: 100, version: 1}
		starter.Submit(testJob(name, 1, 200, 1), at(1))
		start := drain(starter).starts[0]
		is.Equal(start.Target, "t0")
		is.True(start.Reserve)
		answer, _, ended := reader.HandlePeerReservation(name, start.Claim, at(2))
		is.True(!ended)
		answers = append(answers, answer)
		if answer != reserver.Denied {
			continue
		}
		starter.HandleStartResult(start.Target, start.Run, StartDenied, at(3))
		actions := drain(starter)
		is.Equal(len(actions.stops), 0)
		is.True(starter.contention.denied > 0 && starter.contention.rejected == 0)
		is.Equal(actions.starts[0].Target, "t1")
		starter.HandlePeerReport(CapacityReport{Target: "t0", Reporter: "reader-0", FreeCapacity: withCapacity(0, 14000, 1024).Capacity}, at(20))
		starter.HandleStartResult("t1", actions.starts[0].Run, StartDenied, at(20))
		is.Equal(drain(starter).starts[0].Target, "t0")
	}
	is.Equal(answers, []reserver.Answer{reserver.Granted, reserver.Denied})
	is.Equal(len(reader.targets["t0"].allocations), 1)
}

// A reader must grant only capacity that it would report, and must not decide on targets that it does not read: the other
// instance would wait or go elsewhere for no reason.
func TestReaderDecidesByWhatItKnows(t *testing.T) {
	tests := []struct {
		name     string
		prepare  func(reader *Scheduler)
		age      time.Duration
		answer   reserver.Answer
		recorded bool
	}{
		{"free", func(*Scheduler) {}, 0, reserver.Granted, true},
		{"full", func(reader *Scheduler) { reserve(reader, "other", 0, 1) }, 0, reserver.Denied, false},
		{"full of claims without reservation", func(reader *Scheduler) {
			reader.HandlePeerClaim("other", Claim{Target: "t0", Run: Run{"k.0.0.0", 1}, Resources: Resources{MilliCores: 14000}}, at(1))
		}, 0, reserver.Denied, false},
		{"claimed before", func(reader *Scheduler) { reserve(reader, "owner", 0, 1) }, 0, reserver.Granted, true},
		{"listed before", func(reader *Scheduler) {
			reader.HandlePoll("t0", PollResult{Incarnation: 1, Running: []ActiveRun{{Run: Run{"owner.0.0.0", 1}}}, Sent: at(1), Answered: at(1)})
		}, 0, reserver.Granted, true},
		{"probation", func(reader *Scheduler) { reader.targets["t0"].probation = true }, 0, reserver.Denied, false},
		{"unreachable", func(reader *Scheduler) { reader.MarkUnreachable("t0", false, at(1)) }, 0, reserver.Denied, false},
		{"read by another instance meanwhile", func(reader *Scheduler) { reader.SetReader("t0", false, at(1)) }, 0, reserver.Unanswered, false},
		{"new reader that has not listed the runs", func(reader *Scheduler) {
			reader.SetReader("t0", false, at(1))
			reader.SetReader("t0", true, at(1))
		}, 0, reserver.Denied, false},
		{"unknown target", func(reader *Scheduler) { delete(reader.targets, "t0") }, 0, reserver.Unanswered, false},
		{"start no longer waits", func(reader *Scheduler) { reserve(reader, "other", 0, 1) }, reserver.AnswerTimeout, reserver.Unanswered, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reader := newReader()
			test.prepare(reader)
			run := Run{Task: "owner.0.0.0", Attempt: 1}
			claim := Claim{Target: "t0", Run: run, Resources: Resources{MilliCores: 14000, MemoryMB: 64}, Incarnation: 1, Age: test.age}
			answer, _, _ := reader.HandlePeerReservation("owner", claim, at(2))
			is.Equal(answer, test.answer)
			is.Equal(reader.Owner("t0", run) == "owner", test.recorded)
		})
	}
}

// A granted reservation must keep the capacity until the start is rejected or its instance is lost, and no longer.
func TestGrantIsAClaim(t *testing.T) {
	is := is.New(t)
	reader := newReader()
	is.Equal(reserve(reader, "lost", 0, 0), reserver.Granted)
	reader.RemovePeer("lost")
	reader.Sweep(at(int(claimTTL.Milliseconds())))
	is.Equal(reserve(reader, "next", 0, int(claimTTL.Milliseconds())), reserver.Denied)
	reader.Sweep(at(int(claimTTL.Milliseconds()) + 1))
	is.Equal(reserve(reader, "next", 0, int(claimTTL.Milliseconds())+2), reserver.Granted)
	reader.HandlePeerWithdrawal("t0", Run{Task: "next.0.0.0", Attempt: 1}, at(1010))
	is.Equal(reserve(reader, "last", 0, 1010), reserver.Granted)
}

// A start whose denial arrives too late is sent, so a reader that counted on no renewal would consider the runs of an
// unreachable target lost while they go on.
func TestDeniedStartMayRenewTheLease(t *testing.T) {
	is := is.New(t)
	reader := newReader()
	reader.MarkUnreachable("t0", false, at(1))
	is.Equal(reserve(reader, "owner", 0, 500), reserver.Denied)
	is.Equal(reader.targets["t0"].leaseEnd, at(500).Add(LeaseDuration+leaseMargin))
}

// Reservations must be asked for only where the reader knows more than this instance.
func TestReservationsAreAskedOnlyFromReaders(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(scheduler *Scheduler, target *target)
		asks    bool
	}{
		{"other reader", func(*Scheduler, *target) {}, true},
		{"own target", func(scheduler *Scheduler, _ *target) { scheduler.SetReader("t0", true, at(0)) }, false},
		{"no reader known", func(scheduler *Scheduler, _ *target) { scheduler.AttachReader("t0", "", at(0)) }, false},
		{"probation", func(_ *Scheduler, target *target) { target.probation = true }, false},
		{"isolated", func(_ *Scheduler, target *target) { target.isolatedJob = "j" }, false},
		{"no contention", func(scheduler *Scheduler, _ *target) { scheduler.reserver = reserver.New() }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			starter := newStarter("self", testTarget(0))
			starter.reserver = fixedPolicy(true)
			test.prepare(starter, starter.targets["t0"])
			is.Equal(starter.reserves(starter.targets["t0"], at(5)), test.asks)
		})
	}
}

// Rejected starts must lead to reservations, and where few starts are rejected, all starts must be the same as without them.
func TestReservationsNeedContention(t *testing.T) {
	// starts returns the starts of jobs of which every period-th is rejected.
	starts := func(policy reservationPolicy, period int) []StartTask {
		random := rand.New(rand.NewPCG(1, 2))
		scheduler := newStarter("self", testTargets(6)...)
		scheduler.reserver = policy
		var all []StartTask
		for number := range 1000 {
			now := 5 * number
			for reader := range 6 {
				name := fmt.Sprintf("reader-%d", reader)
				scheduler.RecordBroadcast(name, at(now))
				if random.IntN(4) == 0 {
					scheduler.HandlePeerReport(CapacityReport{Target: fmt.Sprintf("t%d", reader), Reporter: name, FreeCapacity: testTarget(0).Capacity}, at(now))
				}
			}
			scheduler.Submit(testJob(fmt.Sprintf("j%d", number), 1, 20+random.IntN(60), now), at(now))
			for issued := drain(scheduler).starts; len(issued) > 0; issued = drain(scheduler).starts {
				for _, start := range issued {
					all = append(all, start)
					if len(all)%period == 0 {
						scheduler.HandleStartResult(start.Target, start.Run, StartNoRoom, at(now+1))
						continue
					}
					scheduler.HandleStartResult(start.Target, start.Run, StartTaken, at(now+1))
					scheduler.HandleEnd(start.Target, End{Seq: int64(len(all)), Run: start.Run, Cause: Done}, at(now+4))
				}
			}
		}
		return all
	}
	is := is.New(t)
	without := starts(fixedPolicy(false), 40)
	is.True(len(without) >= 1000)
	is.Equal(starts(reserver.New(), 40), without)
	asked := 0
	for _, start := range starts(reserver.New(), 4) {
		if start.Reserve {
			asked++
		}
	}
	is.True(asked > 500)
}

// Denials must move work to targets that this instance reads, but less so than rejections, which cost more.
func TestDenialCostsLessThanRejection(t *testing.T) {
	is := is.New(t)
	var rejecting, denying contention
	for range 10 {
		rejecting.record(true)
		denying.recordDenial()
	}
	is.True(denying.cost() > 0)
	is.True(denying.cost() < rejecting.cost())
	for range 1000 {
		denying.recordDenial()
		rejecting.recordDenial()
	}
	is.True(denying.cost() < time.Minute) // bounded
	is.True(rejecting.cost() < time.Minute)
}

// Where connections to targets are not limited, a round trip to the reader would only delay the start, however many are rejected.
func TestReservationsOnlyWhereAllowed(t *testing.T) {
	for _, test := range []struct {
		name     string
		settings []bool
		asks     bool
	}{{"at first", nil, false}, {"allowed", []bool{true}, true}, {"no longer", []bool{true, false}, false}, {"again", []bool{true, false, true}, true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := New("self", "a")
			for _, reserving := range test.settings {
				scheduler.SetReserving(reserving)
			}
			for range 100 {
				scheduler.reserver.Record(0, true)
			}
			scheduler.SetReserving(test.asks) // repeated settings must not forget the rejections
			is.Equal(scheduler.reserver.Asks(0), test.asks)
		})
	}
}
