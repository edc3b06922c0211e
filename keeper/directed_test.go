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

// script is one directed case: three instances have a view, and first is an order with a key of slot 0.
type script func(world *world, first order)

// submitAt submits through each slot in turn, a second apart.
func (world *world) submitAt(sent order, slots ...int) {
	for _, slot := range slots {
		world.send(slot, sent, false, 0, deadline)
		world.run(time.Second)
	}
}

// struck returns a script with a fault at a point of the first submission, and resubmissions to the others
// during the fault and after it.
func struck(at point, fault func(*world, *node)) script {
	return func(world *world, first order) {
		struck := false
		world.strike = func(reached point, node *node) {
			if reached == at && !struck {
				struck = true
				fault(world, node)
			}
		}
		world.submitAt(first, 0, 1, 2)
		world.run(15 * time.Second)
		world.submitAt(first, 1, 2)
		world.run(30 * time.Second)
		world.submitAt(first, 0, 1, 2)
	}
}

func leaveAll(world *world, apart time.Duration) {
	for _, node := range world.slots {
		node.leaving = world.now.Add(8 * time.Second)
		world.run(apart)
	}
}

type directed struct {
	name string
	run  script
}

func directedCases() []directed {
	var cases []directed
	for _, at := range []point{beforeRecord, afterRecord, afterStart, afterAnswer, atWitness} {
		cases = append(cases, directed{"killed " + string(at), struck(at, func(world *world, node *node) { world.kill(node, 10*time.Second) })}, directed{"frozen " + string(at), struck(at, func(world *world, node *node) { world.freeze(node, 40*time.Second) })})
	}
	return append(cases,
		directed{"cut off from everything", func(world *world, first order) {
			world.cut(0, 1, 20*time.Second)
			world.cut(0, 2, 20*time.Second)
			world.logCuts[0] = true
			world.submitAt(first, 0, 1, 2)
			world.run(20 * time.Second)
			delete(world.logCuts, 0)
			world.submitAt(first, 0, 1, 2)
		}},
		directed{"cut off from the log", func(world *world, first order) {
			world.logCuts[0] = true
			world.kill(world.slots[2], time.Second)
			world.run(10 * time.Second)
			world.submitAt(first, 0, 1, 2)
		}},
		directed{"partial cut", func(world *world, first order) {
			world.cut(0, 2, 20*time.Second)
			world.submitAt(first, 0, 2, 1)
			world.run(25 * time.Second)
			world.submitAt(first, 2, 0)
		}},
		directed{"log outage while the owner dies", func(world *world, first order) {
			world.logDown = true
			world.submitAt(first, 0)
			world.kill(world.slots[0], time.Second)
			world.run(3 * time.Second)
			world.submitAt(first, 0, 1, 2)
			world.logDown = false
			world.run(20 * time.Second)
			world.submitAt(first, 0, 1, 2)
		}},
		directed{"append answer lost and append repeated", rivals(1, 1)},
		directed{"two proposals for one view", rivals(0, 1)},
		directed{"forward times out", func(world *world, first order) {
			world.cut(0, 1, 1500*time.Millisecond)
			world.submitAt(first, 1, 0, 2)
		}},
		directed{"cancellation crosses the start", func(world *world, first order) {
			world.send(0, first, false, 0, deadline)
			world.send(1, first, true, 0, deadline)
			world.run(3 * time.Second)
			world.submitAt(first, 2)
		}},
		directed{"deadline passes in the queue", func(world *world, first order) {
			world.submitAt(first, 0)
			world.send(1, first, false, 300*time.Millisecond, 100*time.Millisecond)
			world.run(3 * time.Second)
		}},
		directed{"frozen in the queue beyond the deadline", func(world *world, first order) {
			world.send(0, first, false, 500*time.Millisecond, 400*time.Millisecond)
			world.run(100 * time.Millisecond)
			world.freeze(world.slots[0], 30*time.Second)
			world.run(15 * time.Second)
			world.submitAt(first, 1, 2)
			world.run(20 * time.Second)
		}},
		directed{"rolling replacement, planned", func(world *world, first order) {
			world.submitAt(first, 0)
			leaveAll(world, 15*time.Second)
			world.submitAt(first, 0, 1, 2)
		}},
		directed{"replacement of all at once, unplanned", func(world *world, first order) {
			world.submitAt(first, 0)
			for _, node := range world.slots {
				world.kill(node, time.Second)
			}
			world.run(20 * time.Second)
			world.submitAt(first, 0, 1, 2)
		}},
		directed{"full table", func(world *world, first order) {
			for number := range 6 {
				filler := order{key: world.slots[0].decider.KeyPrefix(world.now) + "filler" + string(rune('a'+number)), body: `"f"`}
				world.submitAt(filler, 0)
			}
			world.submitAt(first, 0, 1, 2)
		}},
		directed{"key reused with another body", func(world *world, first order) {
			world.submitAt(first, 0)
			other := first
			other.body = `"other"`
			world.submitAt(other, 0)
		}},
	)
}

// rivals returns a script in which the instances in two slots append views that follow the same one; each
// leaves out the other.
func rivals(slots ...int) script {
	return func(world *world, first order) {
		for _, slot := range slots {
			number, view := world.slots[slot].decider.View()
			world.propose(world.slots[slot], keeper.View{Prev: number, Members: without(world, view, 1-slot)}, false)
		}
		world.submitAt(first, 0, 1, 2)
		world.run(10 * time.Second)
		world.submitAt(first, 0, 1, 2)
	}
}

// without returns the members of a view other than the one in a slot.
func without(world *world, view keeper.View, slot int) []keeper.Member {
	return slices.DeleteFunc(slices.Clone(view.Members), func(member keeper.Member) bool {
		return member == world.slots[slot].member
	})
}

func runDirected(run script, naive, full bool) *world {
	world := newWorld(11, naive, 3)
	if full {
		world.limits.MaxRecords = 5
		for _, node := range world.slots {
			world.kill(node, 0)
		}
	}
	world.run(8 * time.Second)
	run(world, order{key: world.slots[0].decider.KeyPrefix(world.now) + "job", body: `"1"`, unrepeatable: true})
	world.run(45 * time.Second)
	return world
}

// TestDirected guards against each fault of the fault model by itself: the naive version breaks a promise in
// every case, the keeper in none.
func TestDirected(t *testing.T) {
	for _, directed := range directedCases() {
		t.Run(directed.name, func(t *testing.T) {
			is := is.New(t)
			full := directed.name == "full table"
			is.True(len(runDirected(directed.run, true, full).judge()) > 0) // the naive version must break a promise
			world := runDirected(directed.run, false, full)
			for _, promise := range checker.Guarantees() {
				if text := describe(world, promise); text != "" {
					t.Errorf("%s:\n%s", promise, text)
				}
			}
		})
	}
}

// TestUndisturbed guards against a protocol that is safe because it answers unknown: without faults every
// submission, resubmission included, gets its complete answer.
func TestUndisturbed(t *testing.T) {
	is := is.New(t)
	world := newWorld(11, false, 3)
	world.careful = true
	world.run(8 * time.Second)
	for _, key := range []string{world.slots[0].decider.KeyPrefix(world.now) + "job", "plain"} {
		world.submitAt(order{key: key, body: `"1"`}, 0, 1, 2, 0)
	}
	leaveAll(world, 15*time.Second)
	world.submitAt(order{key: world.slots[1].decider.KeyPrefix(world.now) + "later", body: `"1"`}, 0, 1, 2, 0)
	answered := map[int64]bool{}
	for _, event := range world.history {
		if answer, isAnswer := event.(checker.CompleteAnswer); isAnswer {
			answered[answer.Submission] = true
		}
	}
	is.Equal(len(answered), 12) // each submission
	is.Equal(len(world.judge()), 0)
}
