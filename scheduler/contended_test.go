package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/reserver"
)

// contended simulates instances that share full targets. Each reads some of them and reports to the others every 24 ms; every
// message takes a millisecond.
type contended struct {
	now       int
	events    map[int][]func()
	instances []*Scheduler
	running   map[string]int
	// taken and rejected count the starts on targets of other readers.
	taken, rejected, denied int
}

const contendedTargets = 12

func (contended *contended) after(milliseconds int, event func()) {
	contended.events[contended.now+milliseconds] = append(contended.events[contended.now+milliseconds], event)
}

func (contended *contended) readerOf(target string) int {
	var number int
	_, _ = fmt.Sscanf(target, "t%d", &number)
	return number % len(contended.instances)
}

// run carries out the actions of an instance.
func (contended *contended) run(self int) {
	for _, action := range contended.instances[self].TakeActions() {
		switch action := action.(type) {
		case StartTask:
			contended.start(self, action)
		case WithdrawClaim:
			contended.after(1, func() {
				contended.instances[contended.readerOf(action.Target)].HandlePeerWithdrawal(action.Target, action.Run, at(contended.now))
			})
		case OfferCapacity:
			for to := range contended.instances {
				if name(to) == action.To {
					contended.after(1, func() {
						contended.instances[to].HandlePeerReport(CapacityReport{Target: action.Target, Reporter: name(self), FreeCapacity: action.FreeCapacity}, at(contended.now))
						contended.instances[to].Place(at(contended.now))
					})
				}
			}
		}
	}
}

func name(instance int) string { return fmt.Sprintf("i%d", instance) }

func (contended *contended) start(self int, start StartTask) {
	scheduler, reader := contended.instances[self], contended.readerOf(start.Target)
	result := func(result StartResult) {
		scheduler.HandleStartResult(start.Target, start.Run, result, at(contended.now))
	}
	send := func() {
		contended.after(1, func() {
			answer := StartNoRoom
			if contended.running[start.Target] < 2 {
				answer = StartTaken
				contended.running[start.Target]++
				contended.after(int(start.Estimate.Milliseconds()), func() {
					contended.running[start.Target]--
					end := End{Run: start.Run, Cause: Done, Incarnation: 1}
					contended.instances[reader].HandleEnd(start.Target, end, at(contended.now))
					contended.after(1, func() { scheduler.HandleEnd(start.Target, end, at(contended.now)) })
				})
			}
			if self != reader && answer == StartTaken {
				contended.taken++
			} else if self != reader {
				contended.rejected++
			}
			contended.after(1, func() { result(answer) })
		})
	}
	switch {
	case self == reader:
		send()
	case !start.Reserve:
		contended.after(2, func() { contended.instances[reader].HandlePeerClaim(name(self), start.Claim, at(contended.now)) })
		send()
	default:
		contended.after(1, func() {
			answer, _, _ := contended.instances[reader].HandlePeerReservation(name(self), start.Claim, at(contended.now))
			contended.after(1, func() {
				if answer == reserver.Denied {
					contended.denied++
					result(StartDenied)
					return
				}
				send()
			})
		})
	}
}

// simulate plays five seconds with more jobs than the targets can run.
func simulate(seed uint64, policy func() reservationPolicy) *contended {
	random := rand.New(rand.NewPCG(seed, 0))
	contended := &contended{events: make(map[int][]func()), running: make(map[string]int)}
	for self := range 6 {
		scheduler := New(name(self), "a")
		scheduler.reserver = policy()
		contended.instances = append(contended.instances, scheduler)
	}
	for self, scheduler := range contended.instances {
		scheduler.SetTargets(testTargets(contendedTargets), at(0))
		for _, id := range scheduler.Targets() {
			if reader := contended.readerOf(id); reader == self {
				readIdle(scheduler, id, -2000)
			} else {
				scheduler.AttachReader(id, name(reader), at(-2000))
				scheduler.targets[id].reportAwaitedUntil = at(0)
			}
		}
	}
	for ; contended.now < 5000; contended.now++ {
		for _, event := range contended.events[contended.now] {
			event()
		}
		delete(contended.events, contended.now)
		for self, scheduler := range contended.instances {
			if random.IntN(100) < 13 {
				job := testJob(fmt.Sprintf("j%d-%d", self, contended.now), 1, 20+random.IntN(20), contended.now)
				scheduler.Submit(job, at(contended.now))
			}
			if (contended.now+4*self)%24 == 0 {
				contended.report(self)
			}
			if contended.now%10 == 0 {
				scheduler.Tick(at(contended.now))
				scheduler.ExpireOffers(at(contended.now))
			}
			contended.run(self)
		}
	}
	return contended
}

// report broadcasts the reports and the demand of an instance.
func (contended *contended) report(self int) {
	reports, demand, sent := contended.instances[self].DueReports(at(contended.now)), contended.instances[self].Demand(), contended.now
	contended.after(1, func() {
		for other, scheduler := range contended.instances {
			if other == self {
				continue
			}
			scheduler.RecordBroadcast(name(self), at(sent))
			scheduler.HandlePeerDemand(name(self), demand)
			for _, report := range reports {
				report.Reporter = name(self)
				scheduler.HandlePeerReport(report, at(contended.now))
			}
			scheduler.Place(at(contended.now))
		}
	})
}

// On targets of other readers, more than a third of the starts were rejected under contention; each costs a request to a target
// that is busy.
func TestReservationsPreventRejections(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		without := simulate(seed, func() reservationPolicy { return fixedPolicy(false) })
		with := simulate(seed, func() reservationPolicy { return reserver.New() })
		t.Logf("taken, rejected, denied: without reservations %d, %d, %d, with %d, %d, %d",
			without.taken, without.rejected, without.denied, with.taken, with.rejected, with.denied)
		is.True(5*with.rejected < with.taken+with.rejected)
		is.True(with.denied > 0)
	}
}
