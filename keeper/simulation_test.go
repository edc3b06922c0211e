package keeper_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/checker"
	"github.com/hyssoplift/hyssoplift/keeper"
)

const (
	domain         = "d"
	retention      = 20 * time.Second
	forwardTimeout = 2 * time.Second
)

// faultPoint is a step in the handling of a request at which a fault can be injected.
type faultPoint string

const (
	beforeRecord faultPoint = "before the record"
	afterRecord  faultPoint = "between record and start"
	afterStart   faultPoint = "between start and answer"
	afterAnswer  faultPoint = "after the answer"
	atWitness    faultPoint = "at the witness"
)

type scheduledStep struct {
	at  time.Time
	act func()
}

// simulation is an in-memory failure domain in virtual time: slots that hold one incarnation each, links, a log that
// can be trimmed, and the history for the checker.
type simulation struct {
	// scheduleRandom draws the schedule, at times that do not depend on the version; random draws the rest.
	scheduleRandom random
	random
	naive        bool
	now          time.Time
	pendingSteps []scheduledStep
	slots        []*node
	nodes        map[string]*node
	limits       keeper.Limits
	log          []keeper.View
	trimmed      int64
	logDown      bool
	// renewal maps the number of each view to that of the latest renewal, or first view, at or before it.
	renewal  map[int64]int64
	appended map[int64]time.Time
	cuts     map[[2]int]bool
	logCuts  map[int]bool
	lossy    bool
	// noFalseSuspicions keeps nodes from proposing views without a live member.
	noFalseSuspicions bool
	// onFaultPoint is called at each fault point; it may kill or freeze the node.
	onFaultPoint   func(faultPoint, *node)
	history        []checker.Event
	submissions    int64
	incarnations   int
	unknownAnswers int
}

func newSimulation(seed uint64, naive bool, size int) *simulation {
	simulation := &simulation{
		scheduleRandom: newRandom(seed, 1), random: newRandom(seed, 2), naive: naive, now: time.Unix(1000, 0),
		nodes: map[string]*node{}, renewal: map[int64]int64{}, appended: map[int64]time.Time{},
		cuts: map[[2]int]bool{}, logCuts: map[int]bool{}, onFaultPoint: func(faultPoint, *node) {},
		limits: keeper.Limits{
			MaxAnswerBytes: 1 << 30,
			MaxRecords:     10000, Retention: retention, MaxRun: 2 * time.Second, AckTimeout: 20 * time.Millisecond,
			SyncTimeout: 300 * time.Millisecond, OutcomeInterval: 100 * time.Millisecond,
		},
	}
	for slot := range size {
		simulation.slots = append(simulation.slots, nil)
		simulation.startNode(slot)
	}
	return simulation
}

// after schedules a step after a delay; steps of the same time run in the order of their scheduling.
func (simulation *simulation) after(delay time.Duration, act func()) {
	at := simulation.now.Add(delay)
	i, _ := slices.BinarySearchFunc(simulation.pendingSteps, at, func(earlier scheduledStep, at time.Time) int {
		if earlier.at.After(at) {
			return 1
		}
		return -1
	})
	simulation.pendingSteps = slices.Insert(simulation.pendingSteps, i, scheduledStep{at, act})
}

// run advances the virtual time by a duration and runs the steps that are due.
func (simulation *simulation) run(duration time.Duration) {
	end := simulation.now.Add(duration)
	for len(simulation.pendingSteps) > 0 && !simulation.pendingSteps[0].at.After(end) {
		next := simulation.pendingSteps[0]
		simulation.pendingSteps = simulation.pendingSteps[1:]
		if next.at.After(simulation.now) {
			simulation.now = next.at
		}
		next.act()
	}
	simulation.now = end
}

// nextTimestamp advances the time by a nanosecond, so that each event of the history has its own time.
func (simulation *simulation) nextTimestamp() checker.Timestamp {
	simulation.now = simulation.now.Add(time.Nanosecond)
	return checker.Timestamp{Time: simulation.now}
}

func (simulation *simulation) record(event checker.Event) {
	simulation.history = append(simulation.history, event)
}

// random is a seeded source of random values.
type random struct{ *rand.Rand }

func newRandom(seed, stream uint64) random { return random{rand.New(rand.NewPCG(seed, stream))} }

func (random random) between(low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (random random) chance(probability float64) bool { return random.Float64() < probability }

// startNode starts a new incarnation in a slot.
func (simulation *simulation) startNode(slot int) *node {
	simulation.incarnations++
	member := keeper.Member{Name: fmt.Sprint("n", slot), Incarnation: fmt.Sprintf("n%d-%d", slot, simulation.incarnations)}
	created := newNode(simulation, slot, member)
	simulation.slots[slot], simulation.nodes[member.Incarnation] = created, created
	created.openLog()
	simulation.repeat(created, 300*time.Millisecond, func() {
		created.readLog()
		if !simulation.naive {
			created.checkMembers()
		}
	})
	simulation.repeat(created, 100*time.Millisecond, created.tick)
	return created
}

func (simulation *simulation) repeat(node *node, period time.Duration, act func()) {
	simulation.after(period, func() {
		if node.dead {
			return
		}
		if !node.frozen {
			act()
		}
		simulation.repeat(node, period, act)
	})
}

// kill ends an incarnation; its slot gets a new one after the delay restart, or none if that is negative.
func (simulation *simulation) kill(node *node, restart time.Duration) {
	if node.dead {
		return
	}
	node.dead = true
	if restart >= 0 {
		simulation.after(restart, func() {
			if simulation.slots[node.slot] == node {
				simulation.startNode(node.slot)
			}
		})
	}
}

// freeze suspends a node for a duration; messages that arrive meanwhile are handled in order when it resumes.
func (simulation *simulation) freeze(node *node, duration time.Duration) {
	if node.frozen || node.dead {
		return
	}
	node.frozen = true
	simulation.after(duration, func() {
		node.frozen = false
		inbox := node.inbox
		node.inbox = nil
		for _, act := range inbox {
			node.runOrQueue(act)
		}
	})
}

// linked reports whether two slots can reach each other.
func (simulation *simulation) linked(a, b int) bool {
	return !simulation.cuts[[2]int{min(a, b), max(a, b)}]
}

// transmit delivers a message to an incarnation after a random delay, or loses it.
func (simulation *simulation) transmit(from *node, to string, act func(*node)) {
	delay := simulation.between(200*time.Microsecond, 2*time.Millisecond)
	if simulation.lossy {
		switch {
		case simulation.chance(0.02):
			return
		case simulation.chance(0.05):
			// The delay may exceed several AckTimeouts, so that later attempts overtake the message.
			delay = simulation.between(10*time.Millisecond, 400*time.Millisecond)
		}
	}
	simulation.after(delay, func() {
		target := simulation.nodes[to]
		if target == nil || target.dead || !simulation.linked(from.slot, target.slot) {
			return
		}
		target.runOrQueue(func() { act(target) })
	})
}

// propose appends a view to the log, unless the proposer cannot reach it; the proposer receives no result.
func (simulation *simulation) propose(proposer *node, view keeper.View, renewal bool) {
	if simulation.logDown || simulation.logCuts[proposer.slot] {
		return
	}
	simulation.after(simulation.between(2*time.Millisecond, 30*time.Millisecond), func() {
		offset := int64(len(simulation.log))
		simulation.log = append(simulation.log, view)
		simulation.appended[offset] = simulation.now
		simulation.renewal[offset] = offset
		if earlier, found := simulation.renewal[view.Prev]; found && !renewal && !view.Reset {
			simulation.renewal[offset] = earlier
		}
	})
}

// renewedView returns a renewal of the view with the given number, and whether one is due: a retention period after the
// last.
func (simulation *simulation) renewedView(number int64, view keeper.View) (keeper.View, bool) {
	last, found := simulation.renewal[number]
	if !found || simulation.now.Before(simulation.appended[last].Add(retention)) {
		return view, false
	}
	return keeper.View{Prev: number, Members: slices.Clone(view.Members), ExpiryFloor: max(last, view.ExpiryFloor)}, true
}

// check returns the violations in the history so far.
func (simulation *simulation) check() []checker.Violation {
	return checker.Check(simulation.history, checker.Bounds{Retention: retention, Drain: 5 * time.Second, BundleDelay: 10 * time.Second})
}
