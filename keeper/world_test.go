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
	domain      = "d"
	retention   = 20 * time.Second
	forwardTime = 2 * time.Second
)

// point is a place in the handling of a request at which a fault can strike.
type point string

const (
	beforeRecord point = "before the record"
	afterRecord  point = "between record and start"
	afterStart   point = "between start and answer"
	afterAnswer  point = "after the answer"
	atWitness    point = "at the witness"
)

type happening struct {
	at  time.Time
	act func()
}

// world is an in-memory failure domain in virtual time: slots that hold one incarnation each, links, a log
// with its retention, and the history for the checker.
type world struct {
	// plan draws the schedule and is used at times that do not depend on the version; dice draws the rest.
	plan dice
	dice
	naive   bool
	now     time.Time
	agenda  []happening
	slots   []*node
	every   map[string]*node
	limits  keeper.Limits
	log     []keeper.View
	trimmed int64
	logDown bool
	// renewal maps each view to the latest renewal, or first view, at or before it.
	renewal  map[int64]int64
	appended map[int64]time.Time
	cuts     map[[2]int]bool
	logCuts  map[int]bool
	lossy    bool
	// careful keeps the watchers from wrong suspicions.
	careful bool
	// strike is called at each point; it may kill or freeze the node.
	strike  func(point, *node)
	history []checker.Event
	count   int64
	births  int
	unknown int
}

func newWorld(seed uint64, naive bool, size int) *world {
	world := &world{
		plan: newDice(seed, 1), dice: newDice(seed, 2), naive: naive, now: time.Unix(1000, 0),
		every: map[string]*node{}, renewal: map[int64]int64{}, appended: map[int64]time.Time{},
		cuts: map[[2]int]bool{}, logCuts: map[int]bool{}, strike: func(point, *node) {},
		limits: keeper.Limits{
			MaxAnswerBytes: 1 << 30,
			MaxRecords:     10000, Retention: retention, MaxRun: 2 * time.Second, AckTimeout: 20 * time.Millisecond,
			SyncTimeout: 300 * time.Millisecond, OutcomeInterval: 100 * time.Millisecond,
		},
	}
	for slot := range size {
		world.slots = append(world.slots, nil)
		world.spawn(slot)
	}
	return world
}

// after schedules a step behind those of the same time.
func (world *world) after(delay time.Duration, act func()) {
	at := world.now.Add(delay)
	i, _ := slices.BinarySearchFunc(world.agenda, at, func(earlier happening, at time.Time) int {
		if earlier.at.After(at) {
			return 1
		}
		return -1
	})
	world.agenda = slices.Insert(world.agenda, i, happening{at, act})
}

// run advances the world by a duration.
func (world *world) run(duration time.Duration) {
	end := world.now.Add(duration)
	for len(world.agenda) > 0 && !world.agenda[0].at.After(end) {
		next := world.agenda[0]
		world.agenda = world.agenda[1:]
		if next.at.After(world.now) {
			world.now = next.at
		}
		next.act()
	}
	world.now = end
}

// stamp gives each event of the history its own time.
func (world *world) stamp() checker.At {
	world.now = world.now.Add(time.Nanosecond)
	return checker.At{Time: world.now}
}

func (world *world) record(event checker.Event) { world.history = append(world.history, event) }

// dice is a seeded source of random values.
type dice struct{ *rand.Rand }

func newDice(seed, stream uint64) dice { return dice{rand.New(rand.NewPCG(seed, stream))} }

func (dice dice) between(low, high time.Duration) time.Duration {
	return low + time.Duration(dice.Int64N(int64(high-low)))
}

func (dice dice) chance(probability float64) bool { return dice.Float64() < probability }

// spawn starts a new incarnation in a slot.
func (world *world) spawn(slot int) *node {
	world.births++
	member := keeper.Member{Name: fmt.Sprint("n", slot), Incarnation: fmt.Sprintf("n%d-%d", slot, world.births)}
	born := newNode(world, slot, member)
	world.slots[slot], world.every[member.Incarnation] = born, born
	born.openLog()
	world.loop(born, 300*time.Millisecond, func() {
		born.readLog()
		if !world.naive {
			born.watch()
		}
	})
	world.loop(born, 100*time.Millisecond, born.tick)
	return born
}

func (world *world) loop(node *node, period time.Duration, act func()) {
	world.after(period, func() {
		if node.dead {
			return
		}
		if !node.frozen {
			act()
		}
		world.loop(node, period, act)
	})
}

// kill ends an incarnation; its slot gets a new one after the delay, or none if that is negative.
func (world *world) kill(node *node, restart time.Duration) {
	if node.dead {
		return
	}
	node.dead = true
	if restart >= 0 {
		world.after(restart, func() {
			if world.slots[node.slot] == node {
				world.spawn(node.slot)
			}
		})
	}
}

// freeze stops a node; what reaches it meanwhile is handled in order when it resumes.
func (world *world) freeze(node *node, duration time.Duration) {
	if node.frozen || node.dead {
		return
	}
	node.frozen = true
	world.after(duration, func() {
		node.frozen = false
		inbox := node.inbox
		node.inbox = nil
		for _, act := range inbox {
			node.do(act)
		}
	})
}

// linked says that two slots reach each other.
func (world *world) linked(a, b int) bool { return !world.cuts[[2]int{min(a, b), max(a, b)}] }

// transmit delivers a message to an incarnation, or loses it.
func (world *world) transmit(from *node, to string, act func(*node)) {
	delay := world.between(200*time.Microsecond, 2*time.Millisecond)
	if world.lossy {
		switch {
		case world.chance(0.02):
			return
		case world.chance(0.05):
			// Longer than a few witness timeouts: the message is overtaken by later attempts.
			delay = world.between(10*time.Millisecond, 400*time.Millisecond)
		}
	}
	world.after(delay, func() {
		target := world.every[to]
		if target == nil || target.dead || !world.linked(from.slot, target.slot) {
			return
		}
		target.do(func() { act(target) })
	})
}

// propose appends a view; the proposer does not learn whether the append took effect.
func (world *world) propose(proposer *node, view keeper.View, renewal bool) {
	if world.logDown || world.logCuts[proposer.slot] {
		return
	}
	world.after(world.between(2*time.Millisecond, 30*time.Millisecond), func() {
		offset := int64(len(world.log))
		world.log = append(world.log, view)
		world.appended[offset] = world.now
		world.renewal[offset] = offset
		if earlier, found := world.renewal[view.Prev]; found && !renewal && !view.Reset {
			world.renewal[offset] = earlier
		}
	})
}

// renewedView returns the view that follows prev with the same members, if a retention period has passed.
func (world *world) renewedView(number int64, view keeper.View) (keeper.View, bool) {
	last, found := world.renewal[number]
	if !found || world.now.Before(world.appended[last].Add(retention)) {
		return view, false
	}
	return keeper.View{Prev: number, Members: slices.Clone(view.Members), ExpiryFloor: max(last, view.ExpiryFloor)}, true
}

func (world *world) judge() []checker.Violation {
	return checker.Check(world.history, checker.Bounds{Retention: retention, Drain: 5 * time.Second, BundleDelay: 10 * time.Second})
}
