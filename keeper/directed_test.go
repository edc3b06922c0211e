package keeper_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/checker"
	"github.com/hyssoplift/hyssoplift/keeper"
)

const deadline = 5 * time.Second

// scenario runs one directed case in a domain of three instances that have a view; the key of the job was issued by the
// instance in slot 0.
type scenario func(simulation *simulation, job jobSpec)

// submitToSlots submits a job through each slot in turn, a second apart.
func (simulation *simulation) submitToSlots(job jobSpec, slots ...int) {
	for _, slot := range slots {
		simulation.submit(slot, job, false, 0, deadline)
		simulation.run(time.Second)
	}
}

// faultAt returns a scenario with a fault at a point of the first submission, and resubmissions to the other instances
// during the fault and after it.
func faultAt(at faultPoint, fault func(*simulation, *node)) scenario {
	return func(simulation *simulation, job jobSpec) {
		injected := false
		simulation.onFaultPoint = func(reached faultPoint, node *node) {
			if reached == at && !injected {
				injected = true
				fault(simulation, node)
			}
		}
		simulation.submitToSlots(job, 0, 1, 2)
		simulation.run(15 * time.Second)
		simulation.submitToSlots(job, 1, 2)
		simulation.run(30 * time.Second)
		simulation.submitToSlots(job, 0, 1, 2)
	}
}

// stopAllInTurn begins a planned stop of each instance in turn, the given time apart.
func stopAllInTurn(simulation *simulation, apart time.Duration) {
	for _, node := range simulation.slots {
		node.leaving = simulation.now.Add(8 * time.Second)
		simulation.run(apart)
	}
}

type directedCase struct {
	name string
	run  scenario
}

func directedCases() []directedCase {
	var cases []directedCase
	for _, at := range []faultPoint{beforeRecord, afterRecord, afterStart, afterAnswer, atWitness} {
		cases = append(cases, directedCase{"killed " + string(at), faultAt(at, func(simulation *simulation, node *node) { simulation.kill(node, 10*time.Second) })}, directedCase{"frozen " + string(at), faultAt(at, func(simulation *simulation, node *node) { simulation.freeze(node, 40*time.Second) })})
	}
	return append(cases,
		directedCase{"cut off from everything", func(simulation *simulation, job jobSpec) {
			simulation.cut(0, 1, 20*time.Second)
			simulation.cut(0, 2, 20*time.Second)
			simulation.logCuts[0] = true
			simulation.submitToSlots(job, 0, 1, 2)
			simulation.run(20 * time.Second)
			delete(simulation.logCuts, 0)
			simulation.submitToSlots(job, 0, 1, 2)
		}},
		directedCase{"cut off from the log", func(simulation *simulation, job jobSpec) {
			simulation.logCuts[0] = true
			simulation.kill(simulation.slots[2], time.Second)
			simulation.run(10 * time.Second)
			simulation.submitToSlots(job, 0, 1, 2)
		}},
		directedCase{"partial cut", func(simulation *simulation, job jobSpec) {
			simulation.cut(0, 2, 20*time.Second)
			simulation.submitToSlots(job, 0, 2, 1)
			simulation.run(25 * time.Second)
			simulation.submitToSlots(job, 2, 0)
		}},
		directedCase{"log outage while the owner dies", func(simulation *simulation, job jobSpec) {
			simulation.logDown = true
			simulation.submitToSlots(job, 0)
			simulation.kill(simulation.slots[0], time.Second)
			simulation.run(3 * time.Second)
			simulation.submitToSlots(job, 0, 1, 2)
			simulation.logDown = false
			simulation.run(20 * time.Second)
			simulation.submitToSlots(job, 0, 1, 2)
		}},
		directedCase{"append answer lost and append repeated", competingViews(1, 1)},
		directedCase{"two proposals for one view", competingViews(0, 1)},
		directedCase{"forward times out", func(simulation *simulation, job jobSpec) {
			simulation.cut(0, 1, 1500*time.Millisecond)
			simulation.submitToSlots(job, 1, 0, 2)
		}},
		directedCase{"cancellation crosses the start", func(simulation *simulation, job jobSpec) {
			simulation.submit(0, job, false, 0, deadline)
			simulation.submit(1, job, true, 0, deadline)
			simulation.run(3 * time.Second)
			simulation.submitToSlots(job, 2)
		}},
		directedCase{"deadline passes in the queue", func(simulation *simulation, job jobSpec) {
			simulation.submitToSlots(job, 0)
			simulation.submit(1, job, false, 300*time.Millisecond, 100*time.Millisecond)
			simulation.run(3 * time.Second)
		}},
		directedCase{"frozen in the queue beyond the deadline", func(simulation *simulation, job jobSpec) {
			simulation.submit(0, job, false, 500*time.Millisecond, 400*time.Millisecond)
			simulation.run(100 * time.Millisecond)
			simulation.freeze(simulation.slots[0], 30*time.Second)
			simulation.run(15 * time.Second)
			simulation.submitToSlots(job, 1, 2)
			simulation.run(20 * time.Second)
		}},
		directedCase{"rolling replacement, planned", func(simulation *simulation, job jobSpec) {
			simulation.submitToSlots(job, 0)
			stopAllInTurn(simulation, 15*time.Second)
			simulation.submitToSlots(job, 0, 1, 2)
		}},
		directedCase{"replacement of all at once, unplanned", func(simulation *simulation, job jobSpec) {
			simulation.submitToSlots(job, 0)
			for _, node := range simulation.slots {
				simulation.kill(node, time.Second)
			}
			simulation.run(20 * time.Second)
			simulation.submitToSlots(job, 0, 1, 2)
		}},
		directedCase{"full table", func(simulation *simulation, job jobSpec) {
			for number := range 6 {
				filler := jobSpec{key: simulation.slots[0].decider.KeyPrefix(simulation.now) + "filler" + string(rune('a'+number)), body: `"f"`}
				simulation.submitToSlots(filler, 0)
			}
			simulation.submitToSlots(job, 0, 1, 2)
		}},
		directedCase{"key reused with another body", func(simulation *simulation, job jobSpec) {
			simulation.submitToSlots(job, 0)
			other := job
			other.body = `"other"`
			simulation.submitToSlots(other, 0)
		}},
	)
}

// competingViews returns a scenario in which the instances in the given slots append views that follow the same one;
// each view leaves out the other instance.
func competingViews(slots ...int) scenario {
	return func(simulation *simulation, job jobSpec) {
		for _, slot := range slots {
			number, view := simulation.slots[slot].decider.View()
			simulation.propose(simulation.slots[slot], keeper.View{Prev: number, Members: without(simulation, view, 1-slot)}, false)
		}
		simulation.submitToSlots(job, 0, 1, 2)
		simulation.run(10 * time.Second)
		simulation.submitToSlots(job, 0, 1, 2)
	}
}

// without returns the members of a view other than the one in a slot.
func without(simulation *simulation, view keeper.View, slot int) []keeper.Member {
	return slices.DeleteFunc(slices.Clone(view.Members), func(member keeper.Member) bool {
		return member == simulation.slots[slot].member
	})
}

func runDirected(run scenario, naive, full bool) *simulation {
	simulation := newSimulation(11, naive, 3)
	if full {
		simulation.limits.MaxRecords = 5
		for _, node := range simulation.slots {
			simulation.kill(node, 0)
		}
	}
	simulation.run(8 * time.Second)
	run(simulation, jobSpec{key: simulation.slots[0].decider.KeyPrefix(simulation.now) + "job", body: `"1"`, unrepeatable: true})
	simulation.run(45 * time.Second)
	return simulation
}

// TestSingleFaults guards against each single fault of the fault model. In every case the naive version violates a
// guarantee, and the keeper none.
func TestSingleFaults(t *testing.T) {
	for _, directed := range directedCases() {
		t.Run(directed.name, func(t *testing.T) {
			is := is.New(t)
			full := directed.name == "full table"
			is.True(len(runDirected(directed.run, true, full).check()) > 0) // the naive version must violate a guarantee
			simulation := runDirected(directed.run, false, full)
			for _, guarantee := range checker.Guarantees() {
				if text := describe(simulation, guarantee); text != "" {
					t.Errorf("%s:\n%s", guarantee, text)
				}
			}
		})
	}
}

// TestWithoutFaults guards against a protocol that is safe only because it answers unknown: without faults, every
// submission and resubmission gets its complete answer.
func TestWithoutFaults(t *testing.T) {
	is := is.New(t)
	simulation := newSimulation(11, false, 3)
	simulation.noFalseSuspicions = true
	simulation.run(8 * time.Second)
	for _, key := range []string{simulation.slots[0].decider.KeyPrefix(simulation.now) + "job", "plain"} {
		simulation.submitToSlots(jobSpec{key: key, body: `"1"`}, 0, 1, 2, 0)
	}
	stopAllInTurn(simulation, 15*time.Second)
	simulation.submitToSlots(jobSpec{key: simulation.slots[1].decider.KeyPrefix(simulation.now) + "later", body: `"1"`}, 0, 1, 2, 0)
	answered := map[int64]bool{}
	for _, event := range simulation.history {
		if answer, isAnswer := event.(checker.CompleteAnswer); isAnswer {
			answered[answer.Submission] = true
		}
	}
	is.Equal(len(answered), 12) // every submission has a complete answer
	is.Equal(len(simulation.check()), 0)
}
