package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// The world runs schedulers of several instances against targets in virtual time, with lost and late orders, targets
// that go dark, instances that die or stand still, and cut links, and checks what callers and targets see:
//
//   - no task runs twice at the same time on targets that are up;
//   - a refused job has never started;
//   - each job of a live instance is answered by its deadline;
//   - no target runs more than it has room for.
//
// The naive variant starts a task elsewhere as soon as an order gets no answer, and shows that the checks can fail.

const (
	worldInstances = 3
	worldTargets   = 6
	worldEndMS     = 6000
	worldStepMS    = 5
)

type worldRun struct {
	run  Run
	size int64
	ends int
}

type worldTarget struct {
	id       string
	used     int64
	runs     map[string]*worldRun
	highest  map[string]int64
	ended    []End
	number   int64
	lease    int
	darkFrom int
	darkTo   int
	speed    float64
}

type worldInstance struct {
	scheduler *Scheduler
	name      string
	dead      bool
	frozenTo  int
	acked     map[string]int64
}

type worldEvent struct {
	at  int
	seq int
	do  func()
}

type world struct {
	seed      uint64
	random    *rand.Rand
	now       int
	seq       int
	events    []worldEvent
	targets   []*worldTarget
	instances []*worldInstance
	naive     bool
	lossy     bool
	started   map[string]bool
	answers   map[string]dispatcher.Outcome
	deadlines map[string]int
	origin    map[string]int
	doubles   int
	problems  []string
}

func newWorld(seed uint64, naive bool) *world {
	world := &world{
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, 1)), naive: naive, started: make(map[string]bool),
		answers: make(map[string]dispatcher.Outcome), deadlines: make(map[string]int), origin: make(map[string]int),
	}
	infos := testTargets(worldTargets)
	for _, info := range infos {
		world.targets = append(world.targets, &worldTarget{
			id: info.ID, runs: make(map[string]*worldRun), highest: make(map[string]int64), speed: 0.6 + world.random.Float64(), darkFrom: worldEndMS * 2,
		})
	}
	for number := range worldInstances {
		instance := &worldInstance{name: fmt.Sprintf("n%d", number), acked: make(map[string]int64)}
		instance.scheduler = New(instance.name, "a")
		instance.scheduler.SetTargets(infos, at(0))
		world.instances = append(world.instances, instance)
	}
	return world
}

func (world *world) after(delay int, do func()) {
	world.seq++
	world.events = append(world.events, worldEvent{world.now + delay, world.seq, do})
}

func (world *world) problem(format string, arguments ...any) {
	world.problems = append(world.problems, fmt.Sprintf("%d ms: ", world.now)+fmt.Sprintf(format, arguments...))
}

func (world *world) up(instance int) bool {
	return !world.instances[instance].dead && world.now >= world.instances[instance].frozenTo
}

func (target *worldTarget) dark(now int) bool { return now >= target.darkFrom && now < target.darkTo }

// reader returns the instance that reads a target: the first that is up, beginning with the target's own.
func (world *world) reader(target int) int {
	for offset := range worldInstances {
		if instance := (target + offset) % worldInstances; world.up(instance) {
			return instance
		}
	}
	return -1
}

func (world *world) run(jobs int) {
	for number := range jobs {
		world.after(world.random.IntN(worldEndMS/2), func() { world.submit(number) })
	}
	world.after(500+world.random.IntN(2000), func() { world.instances[0].dead = true })
	world.after(500+world.random.IntN(2000), func() { world.instances[1].frozenTo = world.now + 1500 })
	for _, target := range world.targets[:2] {
		target.darkFrom = 500 + world.random.IntN(2500)
		target.darkTo = target.darkFrom + 300 + world.random.IntN(2000)
	}
	lossyFrom := world.random.IntN(2500)
	for ; world.now < worldEndMS; world.now++ {
		world.lossy = world.now >= lossyFrom && world.now < lossyFrom+1500
		world.deliver()
		world.lapse()
		if world.now%worldStepMS == 0 {
			world.step()
		}
	}
	world.checkAnswers()
}

func (world *world) deliver() {
	var due []worldEvent
	rest := world.events[:0]
	for _, event := range world.events {
		if event.at <= world.now {
			due = append(due, event)
		} else {
			rest = append(rest, event)
		}
	}
	world.events = rest
	sort.Slice(due, func(i, j int) bool { return due[i].at < due[j].at || due[i].at == due[j].at && due[i].seq < due[j].seq })
	for _, event := range due {
		event.do()
	}
}

func (world *world) submit(number int) {
	id := fmt.Sprintf("j%d", number)
	entry := world.random.IntN(worldInstances)
	if !world.up(entry) {
		return
	}
	world.origin[id] = entry
	world.deadlines[id] = world.now + 3000
	instance := world.instances[entry]
	instance.scheduler.Submit(testJob(id, 1+world.random.IntN(4), 50+world.random.IntN(800), world.now), at(world.now))
	world.settle(entry)
}

// step lets each instance that is up do what is due by time, look at the targets that it reads, and tell the others.
func (world *world) step() {
	for number, instance := range world.instances {
		if instance.dead || world.now < instance.frozenTo {
			continue
		}
		if instance.frozenTo != 0 {
			instance.scheduler.NotePause(at(world.now))
			instance.frozenTo = 0
		}
		instance.scheduler.Tick(at(world.now))
		instance.scheduler.ExpireOffers(at(world.now))
		if world.now%100 == 0 {
			instance.scheduler.Sweep(at(world.now))
		}
		if world.now%50 == 0 {
			world.look(number)
		}
		if world.now%int(ClaimRepeatInterval/time.Millisecond) == 0 {
			for _, claim := range instance.scheduler.Claims() {
				world.claim(number, claim)
			}
		}
		world.settle(number)
	}
}

func (world *world) look(number int) {
	instance := world.instances[number]
	for index, target := range world.targets {
		reads := world.reader(index) == number
		instance.scheduler.SetReader(target.id, reads, at(world.now))
		if !reads {
			continue
		}
		state := instance.scheduler.TargetState(target.id)
		if target.dark(world.now) || world.lossy && world.random.IntN(10) == 0 {
			if target.dark(world.now) {
				instance.scheduler.MarkUnreachable(target.id)
			}
			continue
		}
		if state.Occupied && !state.Unreachable {
			instance.scheduler.NoteRenewal(target.id, at(world.now))
			target.lease = max(target.lease, world.now+1000)
		}
		poll := PollResult{Incarnation: 1, Sent: at(world.now - 1), Answered: at(world.now)}
		for _, running := range target.sorted() {
			poll.Running = append(poll.Running, ActiveRun{Run: running.run})
		}
		for _, end := range target.ended {
			if end.Seq > instance.acked[target.id] {
				poll.Ended = append(poll.Ended, end)
			}
		}
		instance.scheduler.HandlePoll(target.id, poll)
		for _, end := range poll.Ended {
			owner := instance.scheduler.Owner(target.id, end.Run)
			instance.acked[target.id] = end.Seq
			instance.scheduler.HandleEnd(target.id, end, at(world.now))
			world.tell(owner, func(peer *Scheduler) { peer.HandleEnd(target.id, end, at(world.now)) })
		}
		alive := func(owner string) bool {
			for other := range world.instances {
				if world.instances[other].name == owner {
					return world.up(other)
				}
			}
			return false
		}
		instance.scheduler.StopOrphans(target.id, alive, at(world.now))
		if report, due := instance.scheduler.RenewalReport(target.id, at(world.now)); due {
			world.report(number, report)
		}
	}
}

// tell passes news to an instance a little later, if it is up then.
func (world *world) tell(name string, do func(*Scheduler)) {
	for number := range world.instances {
		if world.instances[number].name != name {
			continue
		}
		world.after(1+world.random.IntN(3), func() {
			if world.up(number) {
				do(world.instances[number].scheduler)
				world.settle(number)
			}
		})
	}
}

func (world *world) report(from int, report CapacityReport) {
	for number, instance := range world.instances {
		if number != from {
			world.tell(instance.name, func(peer *Scheduler) { peer.HandlePeerReport(report, at(world.now)) })
		}
	}
}

func (world *world) claim(from int, claim Claim) {
	reader := world.reader(world.index(claim.Target))
	if reader < 0 || reader == from {
		return
	}
	owner := world.instances[from].name
	world.tell(world.instances[reader].name, func(peer *Scheduler) {
		if end, ended := peer.HandlePeerClaim(owner, claim, at(world.now)); ended {
			world.tell(owner, func(back *Scheduler) { back.HandleEnd(claim.Target, end, at(world.now)) })
		}
	})
}

func (world *world) index(id string) int {
	for index, target := range world.targets {
		if target.id == id {
			return index
		}
	}
	panic("unknown target " + id)
}

// settle carries out the actions of an instance.
func (world *world) settle(number int) {
	scheduler := world.instances[number].scheduler
	for _, action := range scheduler.TakeActions() {
		switch action := action.(type) {
		case StartTask:
			world.claim(number, action.Claim)
			world.order(number, action.Target, func(target *worldTarget) StartResult { return world.start(target, number, action) },
				func(result StartResult, answered bool) {
					if !answered && world.naive {
						result = StartRefused
					}
					scheduler.HandleStartResult(action.Target, action.Run, result, at(world.now))
				})
		case StopRun:
			world.order(number, action.On.ID, func(target *worldTarget) StartResult { return world.stop(target, action.Run) },
				func(_ StartResult, answered bool) {
					scheduler.HandleStopResult(action.On.ID, action.Run, answered, at(world.now))
				})
		case RelayStop:
			if reader := world.reader(world.index(action.Target)); reader >= 0 && reader != number {
				world.tell(world.instances[reader].name, func(peer *Scheduler) { peer.HandlePeerStop(action.Target, action.Run) })
			}
		case AnswerJob:
			world.answers[action.Job] = action.Outcome
			if _, refused := action.Outcome.(dispatcher.Refused); refused && world.started[action.Job] {
				world.problem("job %s is refused though it has started", action.Job)
			}
		case WithdrawClaim, OfferCapacity:
		}
	}
	for _, report := range scheduler.DueReports(at(world.now)) {
		world.report(number, report)
	}
}

// order carries an order to a target and its answer back; an order without answer may be carried out seconds later.
func (world *world) order(from int, id string, carryOut func(*worldTarget) StartResult, answer func(StartResult, bool)) {
	target := world.targets[world.index(id)]
	reply := func(delay int, result StartResult, answered bool) {
		world.after(delay, func() {
			if !world.instances[from].dead {
				answer(result, answered)
				world.settle(from)
			}
		})
	}
	const timeout = 60
	late := world.lossy && world.random.IntN(10) == 0
	if target.dark(world.now) || late {
		if late {
			world.after(2000+world.random.IntN(2000), func() {
				if !target.dark(world.now) {
					carryOut(target)
				}
			})
		}
		reply(timeout, StartUnanswered, false)
		return
	}
	world.after(1, func() {
		result := carryOut(target)
		if world.lossy && world.random.IntN(10) == 0 {
			reply(timeout, StartUnanswered, false)
			return
		}
		reply(1, result, true)
	})
}

func (world *world) start(target *worldTarget, owner int, start StartTask) StartResult {
	ordered := int(start.Issued.Sub(origin) / time.Millisecond)
	running, ok := target.runs[start.Run.Task]
	switch {
	case ok && running.run == start.Run:
		return StartTaken
	case start.Run.Attempt <= target.highest[start.Run.Task]:
		return StartStale
	case world.now > ordered+1000:
		return StartLate
	case target.used+start.Resources.MilliCores > 32000:
		return StartNoRoom
	}
	for _, other := range world.targets {
		if other != target && other.runs[start.Run.Task] != nil {
			world.doubles++
			if !world.naive {
				world.problem("task %s starts on %s by %d beside %s", start.Run.Task, target.id, owner, other.id)
			}
		}
	}
	world.started[start.Job] = true
	target.lease = max(target.lease, ordered+1000)
	target.highest[start.Run.Task] = start.Run.Attempt
	target.used += start.Resources.MilliCores
	ends := world.now + int(float64(start.Estimate/time.Millisecond)/target.speed*(0.8+0.4*world.random.Float64()))
	target.runs[start.Run.Task] = &worldRun{run: start.Run, size: start.Resources.MilliCores, ends: ends}
	return StartTaken
}

func (world *world) stop(target *worldTarget, run Run) StartResult {
	target.highest[run.Task] = max(target.highest[run.Task], run.Attempt)
	if running, ok := target.runs[run.Task]; ok && running.run.Attempt <= run.Attempt {
		world.after(world.random.IntN(50), func() {
			if target.runs[run.Task] == running {
				target.end(running, Stopped)
			}
		})
	}
	return StartTaken
}

// sorted returns the runs in the order of their tasks, so that a seed always plays the same schedule.
func (target *worldTarget) sorted() []*worldRun {
	var runs []*worldRun
	for _, task := range slices.Sorted(maps.Keys(target.runs)) {
		runs = append(runs, target.runs[task])
	}
	return runs
}

func (target *worldTarget) end(running *worldRun, cause Cause) {
	delete(target.runs, running.run.Task)
	target.used -= running.size
	target.number++
	target.ended = append(target.ended, End{Seq: target.number, Run: running.run, Cause: cause})
}

// lapse ends runs that are done, and those of targets whose leases are over.
func (world *world) lapse() {
	for _, target := range world.targets {
		for _, running := range target.sorted() {
			switch {
			case world.now >= running.ends:
				target.end(running, Done)
			case world.now >= target.lease+20:
				target.end(running, Lapsed)
			}
		}
	}
}

func (world *world) checkAnswers() {
	for id, deadline := range world.deadlines {
		entry := world.instances[world.origin[id]]
		if _, answered := world.answers[id]; !answered && !entry.dead && deadline < worldEndMS-500 {
			world.problem("job %s of %s has no answer", id, entry.name)
		}
	}
	if world.doubles > 0 {
		world.problem("%d tasks ran twice at once", world.doubles)
	}
}

// worldSeeds is the number of schedules that each run of the tests plays.
const worldSeeds = 150

// Guards the promises above under faults that come together, in schedules drawn from seeds.
func TestPromisesHoldInRandomSchedules(t *testing.T) {
	complete := 0
	for seed := range uint64(worldSeeds) {
		world := newWorld(seed, false)
		world.run(60)
		for _, problem := range world.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
		for _, outcome := range world.answers {
			if _, ok := outcome.(dispatcher.Complete); ok {
				complete++
			}
		}
	}
	if complete < worldSeeds*20 {
		t.Errorf("only %d jobs are complete; the schedules show little", complete)
	}
}

// Guards against checks that cannot fail: a scheduler that takes a lost answer for a refusal runs tasks twice.
func TestNaiveRetryRunsTasksTwice(t *testing.T) {
	doubles := 0
	for seed := range uint64(worldSeeds / 5) {
		world := newWorld(seed, true)
		world.run(60)
		doubles += world.doubles
	}
	if doubles == 0 {
		t.Error("the naive variant ran no task twice")
	}
}
