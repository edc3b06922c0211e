package scheduler

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

var (
	starvationSeeds = flag.Int("starvation-seeds", 0, "number of seeds of each simulation with instances that get too little processor time; 0 means a few")
	starvationFirst = flag.Uint64("starvation-first", 0, "first seed of the simulations with instances that get too little processor time")
)

// starvationCauses are the causes that a simulation combines.
type starvationCauses struct {
	// pauses means that several or all instances are paused together or slow, in series.
	pauses bool
	// readers means that the polls of some instances time out, and that their reports of that are late.
	readers bool
	// lateOrders means that some requests get no answer and are carried out seconds later, also by a later incarnation of their
	// target, and that targets and instances restart meanwhile.
	lateOrders bool
	// kills means that instances end and come back.
	kills bool
	// restartOfAll means that all instances and some targets restart at one moment, after some requests got no answer.
	restartOfAll bool
	// endAgain means that some targets end in the seconds after such a restart, and that late requests are carried out at any
	// time within seconds.
	endAgain bool
}

const (
	starvationEndMS    = 12000
	starvationSubmitMS = 8000
	starvationJobs     = 80
	// requestTimeoutMS limits the wait for the answer to a start or a stop, pollTimeoutMS that for the answer to a poll that the target
	// may hold back, lookTimeoutMS that to another poll, and degradedPollTimeoutMS that to a poll after a failed one.
	requestTimeoutMS      = 60
	pollTimeoutMS         = 400
	lookTimeoutMS         = 100
	degradedPollTimeoutMS = 90
	// starvedStopMS is how long a target takes at most to stop a run, longer than the platform allows.
	starvedStopMS = 200
	// peerTimeoutMS is how long after its last message an instance is taken for lost.
	peerTimeoutMS = 500
	// maxReportDelayMS is how late the report that a target is unreachable arrives at most while the instances have time.
	maxReportDelayMS = 250
)

// starvation adds instances that get too little processor time to a simulation. They handle what arrives late, and requests
// that they have decided before are sent late, with the lease of the decision.
type starvation struct {
	causes starvationCauses
	random *rand.Rand
	states map[*simulatedInstance]*starvedInstance
	// links holds when the last message between two instances arrives; messages do not overtake each other.
	links map[[2]string]int
	// renewals describes the last renewal of each target's lease.
	renewals map[string]renewal
	// extraDelay is the additional delay of the message that is being sent.
	extraDelay int
	// lossy holds the intervals in which requests get no answer.
	lossy [][2]int
	// executing is whether the request that a target executes is late, and sentBy the incarnation that sent it.
	executing bool
	sentBy    string
	// submissions counts the submissions of each job, and lost holds the last loss of a run of each task, by owner.
	submissions map[string]int
	lost        map[string]string
	// stopRequested holds the runs whose stop was requested by any instance.
	stopRequested map[string]int
	twice         []twoRuns
	counts        map[string]int
	// linked holds the pairs of incarnations that have a link; nil if all have one. killedAt is when all instances were last
	// killed.
	linked   map[[2]string]bool
	killedAt int
}

// starvedInstance is the state of one incarnation of an instance.
type starvedInstance struct {
	slowUntil int
	// pollsFailUntil is until when the instance reads the answers to most of its polls too late.
	pollsFailUntil int
	nextStep       int
	lastTick       int
	lastSweep      int
	lastClaims     int
	streams        map[string]int
	heartbeatAt    int
	// heard holds when the instance last handled a message of each other one that it takes for responsive.
	heard     map[string]int
	readers   []int
	startedAt int
	// awaitsPeers means that the instance polls no idle target, since it may not know the other instances yet.
	awaitsPeers bool
}

// renewal is a request that renewed a target's lease.
type renewal struct {
	by, kind      string
	decided, ends int
}

// twoRuns describes the start of a task while another run of it goes on.
type twoRuns struct {
	cause string
	text  string
}

// newStarvedInstances returns a simulation without jobs and faults.
func newStarvedInstances(seed uint64, causes starvationCauses, random *rand.Rand, targets, instances int) *simulation {
	spontaneous := &spontaneousEnds{
		downMS: 500, cuts: make(map[int][]simulatedCut), accepted: make(map[string][]*acceptedRun), crashesUnder: make(map[string]int), counts: make(map[string]int),
	}
	simulation := newSizedSimulation(seed, false, targets, instances, spontaneous)
	simulation.end = starvationEndMS
	simulation.crashing = newCrashingTasks(1000)
	simulation.starvation = &starvation{
		causes: causes, random: random, states: make(map[*simulatedInstance]*starvedInstance), links: make(map[[2]string]int), renewals: make(map[string]renewal),
		submissions: make(map[string]int), lost: make(map[string]string), stopRequested: make(map[string]int), counts: make(map[string]int),
	}
	return simulation
}

// newStarvationSimulation returns a simulation whose faults are drawn from the seed.
func newStarvationSimulation(seed uint64, causes starvationCauses) *simulation {
	random := rand.New(rand.NewPCG(seed, 5))
	simulation := newStarvedInstances(seed, causes, random, 14+random.IntN(5), 4+random.IntN(4))
	starvation := simulation.starvation
	for number := range starvationJobs {
		id, tasks, estimate := fmt.Sprintf("j%d", number), 1+random.IntN(4), 50+random.IntN(800)
		if random.IntN(4) == 0 {
			estimate += 1000
		}
		if causes.restartOfAll {
			tasks, estimate = 1+random.IntN(2), minRestartRunMS+random.IntN(maxRestartRunMS-minRestartRunMS)
		}
		patient := random.IntN(2) == 0 || causes.restartOfAll
		simulation.after(random.IntN(starvationSubmitMS), func() { simulation.crashing.submit(simulation, id, tasks, estimate, patient) })
	}
	for series := range 3 {
		begin := 700 + series*2500 + random.IntN(1200)
		if causes.pauses {
			starvation.schedulePauses(simulation, begin)
		}
		if causes.readers {
			starvation.scheduleReaders(simulation, begin)
		}
		if causes.lateOrders {
			starvation.scheduleLateOrders(simulation, begin)
		}
		if causes.restartOfAll {
			starvation.scheduleRestart(simulation, begin)
		}
		if causes.kills {
			for range 1 + random.IntN(2) {
				killed := random.IntN(len(simulation.instances))
				simulation.after(begin+random.IntN(600), func() { starvation.kill(simulation, killed) })
			}
		}
	}
	return simulation
}

// schedulePauses pauses instances in overlapping slices, and makes some slow.
func (starvation *starvation) schedulePauses(simulation *simulation, begin int) {
	random := starvation.random
	all, slices := random.IntN(3) == 0, 1+random.IntN(4)
	for number := range simulation.instances {
		if !all && random.IntN(2) == 0 {
			continue
		}
		if random.IntN(3) == 0 {
			length := 800 + random.IntN(1200)
			simulation.after(begin+random.IntN(300), func() {
				starvation.state(simulation.instances[number]).slowUntil = simulation.now + length
				simulation.spontaneous.trace(simulation, "n%d is slow for %d ms", number, length)
			})
			continue
		}
		at := begin + random.IntN(200)
		for range slices {
			length := 50 + random.IntN(1550)
			simulation.after(at, func() { starvation.pause(simulation, number, length) })
			at += length + 5 + random.IntN(120)
		}
	}
}

func (starvation *starvation) pause(simulation *simulation, number, length int) {
	instance := simulation.instances[number]
	if instance.crashed {
		return
	}
	if simulation.now >= instance.pausedUntil {
		instance.pausedAt = simulation.now
	}
	instance.pausedUntil = max(instance.pausedUntil, simulation.now+length)
	starvation.counts["pause"]++
	simulation.spontaneous.trace(simulation, "n%d is paused until %d ms", number, instance.pausedUntil)
}

// scheduleReaders lets the polls of one instance time out, and those of some others.
func (starvation *starvation) scheduleReaders(simulation *simulation, begin int) {
	first := starvation.random.IntN(len(simulation.instances))
	for number := range simulation.instances {
		if number != first && starvation.random.IntN(3) > 0 {
			continue
		}
		length := 900 + starvation.random.IntN(1600)
		simulation.after(begin+starvation.random.IntN(400), func() {
			starvation.state(simulation.instances[number]).pollsFailUntil = simulation.now + length
			simulation.spontaneous.trace(simulation, "the polls of n%d time out for %d ms", number, length)
		})
	}
}

// scheduleLateOrders lets requests get no answer, and restarts a third of the targets and of the instances afterwards.
func (starvation *starvation) scheduleLateOrders(simulation *simulation, begin int) {
	random := starvation.random
	end := begin + 1500
	starvation.lossy = append(starvation.lossy, [2]int{begin, end})
	for _, target := range simulation.targets {
		if random.IntN(3) == 0 {
			down := 5 + random.IntN(500)
			simulation.after(end-300+random.IntN(600), func() { simulation.spontaneous.end(simulation, target, down, "ended") })
		}
	}
	for number := range simulation.instances {
		if random.IntN(3) == 0 {
			simulation.after(end-100+random.IntN(300), func() { starvation.kill(simulation, number) })
		}
	}
}

func (starvation *starvation) kill(simulation *simulation, number int) {
	if instance := simulation.instances[number]; !instance.crashed {
		starvation.counts["kill"]++
		simulation.crashing.restartInstance(simulation, number)
	}
}

func (starvation *starvation) state(instance *simulatedInstance) *starvedInstance {
	state, ok := starvation.states[instance]
	if !ok {
		state = &starvedInstance{streams: make(map[string]int), heard: make(map[string]int)}
		starvation.states[instance] = state
	}
	return state
}

// lag returns how late an instance handles what arrives now.
func (starvation *starvation) lag(simulation *simulation, instance *simulatedInstance) int {
	if rest := starvation.state(instance).slowUntil - simulation.now; rest > 0 {
		// What has waited is handled in a burst afterwards.
		return min(50+starvation.random.IntN(650), rest+starvation.random.IntN(10))
	}
	return 0
}

// handle lets an instance do something as soon as it has the time. What arrives by one stream keeps its order.
func (starvation *starvation) handle(simulation *simulation, instance *simulatedInstance, number int, stream string, do func()) {
	state := starvation.state(instance)
	schedule := func(due int, attempt func()) {
		if stream != "" {
			due = max(due, state.streams[stream])
			state.streams[stream] = due
		}
		simulation.after(due-simulation.now, attempt)
	}
	var attempt func()
	attempt = func() {
		switch {
		case instance.crashed:
		case simulation.now < instance.pausedUntil:
			schedule(instance.pausedUntil+starvation.random.IntN(10), attempt)
		default:
			simulation.acting = number
			do()
			simulation.acting = number
			simulation.runActions(number)
		}
	}
	if lag := starvation.lag(simulation, instance); lag > 0 || state.streams[stream] > simulation.now {
		schedule(simulation.now+lag, attempt)
		return
	}
	attempt()
}

// send delivers a message after those that were sent before.
func (starvation *starvation) send(simulation *simulation, name string, do func(*Scheduler)) {
	from := simulation.instances[simulation.acting].name
	if !starvation.hasLink(from, name) {
		return
	}
	for number, instance := range simulation.instances {
		if instance.name != name {
			continue
		}
		arrival := max(simulation.now+1+starvation.random.IntN(3)+starvation.extraDelay, starvation.links[[2]string{from, name}])
		starvation.links[[2]string{from, name}] = arrival
		simulation.after(arrival-simulation.now, func() {
			starvation.handle(simulation, instance, number, from, func() {
				starvation.state(instance).heard[from] = simulation.now
				do(instance.scheduler)
			})
		})
	}
}

// report sends a report to all other instances; that a target is unreachable reaches some of them late.
func (starvation *starvation) report(simulation *simulation, from int, report CapacityReport) {
	report.Reporter = simulation.instances[from].name
	if report.Unreachable {
		simulation.spontaneous.trace(simulation, "n%d reports that %s is unreachable", from, report.Target)
		starvation.counts["unreachable"]++
	}
	for number, instance := range simulation.instances {
		if number == from {
			continue
		}
		if report.Unreachable && starvation.causes.readers && starvation.random.IntN(2) == 0 {
			starvation.extraDelay = starvation.random.IntN(maxReportDelayMS)
		}
		simulation.acting = from
		sent := at(simulation.now)
		simulation.send(instance.name, func(peer *Scheduler) {
			peer.RecordBroadcast(report.Reporter, sent)
			peer.HandlePeerReport(report, at(simulation.now))
			if report.Unreachable {
				simulation.spontaneous.trace(simulation, "%s learns from n%d that %s is unreachable", peer.self, from, report.Target)
			}
		})
		starvation.extraDelay = 0
	}
}

// submit sends a job to an instance.
func (starvation *starvation) submit(simulation *simulation, id string, entry int) {
	instance := simulation.instances[entry]
	if instance.crashed {
		simulation.after(resendDelayMS, func() { simulation.crashing.resend(simulation, id) })
		return
	}
	starvation.submissions[id]++
	simulation.origin[id] = entry
	delete(simulation.outcomes, id)
	delete(simulation.started, id)
	starvation.handle(simulation, instance, entry, "", func() {
		job := simulation.crashing.jobs[id]
		if starvation.causes.restartOfAll {
			job.Objective = at(simulation.now).Add(job.Objective.Sub(job.Arrived))
		}
		job.Arrived = at(simulation.now)
		simulation.spontaneous.trace(simulation, "n%d gets job %s, submission %d", entry, id, starvation.submissions[id])
		instance.scheduler.Submit(job, at(simulation.now))
	})
}

// step lets an instance that is up handle time-based events and poll its targets.
func (starvation *starvation) step(simulation *simulation, number int) {
	instance := simulation.instances[number]
	state, now := starvation.state(instance), at(simulation.now)
	if simulation.now < state.nextStep {
		return
	}
	const tickMS, pauseThresholdMS, heartbeatMS, maxHeartbeatGapMS, missedMS, resumeMS = 10, 150, 120, 420, 500, 250
	state.nextStep = simulation.now + max(tickMS, starvation.lag(simulation, instance))
	knowsAll := state.lastTick == 0 && starvation.linked == nil
	if knowsAll || simulation.now-state.lastTick > maxHeartbeatGapMS {
		// Missing messages do not indicate lost peers.
		for other, peer := range simulation.instances {
			if _, ok := state.heard[peer.name]; other != number && (ok || knowsAll && !peer.crashed) {
				state.heard[peer.name] = max(state.heard[peer.name], simulation.now-resumeMS)
			}
		}
	}
	if simulation.now-state.heartbeatAt >= heartbeatMS {
		state.heartbeatAt = simulation.now
		sent := now
		simulation.broadcast(number, func(peer *Scheduler) { peer.RecordBroadcast(instance.name, sent) })
	}
	if state.lastTick > 0 && simulation.now-state.lastTick > pauseThresholdMS {
		instance.scheduler.RecordPause(now)
	}
	if knowsAll || simulation.now-state.lastTick > missedMS {
		starvation.synchronize(simulation, instance)
	}
	state.lastTick = simulation.now
	instance.scheduler.Tick(now)
	instance.scheduler.ExpireOffers(now)
	if simulation.now-state.lastSweep >= 100 {
		state.lastSweep = simulation.now
		instance.scheduler.Sweep(now)
		starvation.updatePeers(simulation, number, state)
		starvation.updateReaders(simulation, number, state)
		simulation.spontaneous.stopOrphans(simulation, number)
	}
	for index := range simulation.targets {
		starvation.poll(simulation, number, index)
		starvation.listStopped(simulation, number, index)
	}
	if simulation.now-state.lastClaims >= int(ClaimRepeatInterval/time.Millisecond) {
		state.lastClaims = simulation.now
		for _, claim := range instance.scheduler.Claims(now) {
			simulation.claim(number, claim)
		}
	}
	simulation.runActions(number)
}

// synchronize sends an instance what it may have missed.
func (starvation *starvation) synchronize(simulation *simulation, instance *simulatedInstance) {
	acting := simulation.acting
	for number, other := range simulation.instances {
		if other != instance && !other.crashed {
			simulation.acting = number
			starvation.sendKnown(simulation, other, instance.name)
		}
	}
	simulation.acting = acting
}

// sendKnown sends what an instance knows to another one that may have missed it.
func (starvation *starvation) sendKnown(simulation *simulation, from *simulatedInstance, to string) {
	for _, loss := range from.scheduler.Losses() {
		simulation.send(to, func(peer *Scheduler) { peer.HandlePeerLoss(loss, at(simulation.now)) })
	}
	for _, report := range from.scheduler.Reports(at(simulation.now)) {
		report.Reporter = from.name
		simulation.send(to, func(peer *Scheduler) { peer.HandlePeerReport(report, at(simulation.now)) })
	}
	for _, suspension := range from.scheduler.Suspensions() {
		simulation.send(to, func(peer *Scheduler) { peer.HandlePeerSuspension(from.name, suspension, at(simulation.now)) })
	}
}

// alive reports whether the acting instance takes another one for responsive.
func (starvation *starvation) alive(simulation *simulation, name string) bool {
	heard, ok := starvation.state(simulation.instances[simulation.acting]).heard[name]
	return ok && simulation.now-heard <= peerTimeoutMS
}

func (starvation *starvation) peersOf(simulation *simulation, number int) Peers {
	peers := Peers{Complete: starvation.hasAllLinks(simulation, number)}
	heard := starvation.state(simulation.instances[number]).heard
	for _, name := range slices.Sorted(maps.Keys(heard)) {
		if simulation.now-heard[name] <= peerTimeoutMS {
			peers.Answering = append(peers.Answering, name)
		}
	}
	return peers
}

// updatePeers lets an instance notice which others are lost.
func (starvation *starvation) updatePeers(simulation *simulation, number int, state *starvedInstance) {
	instance := simulation.instances[number]
	peers := starvation.peersOf(simulation, number)
	peers.Starting = peers.Answering
	instance.scheduler.SetPeers(peers)
	starvation.updateAwaitsPeers(simulation, state, peers)
	for _, name := range slices.Sorted(maps.Keys(state.heard)) {
		if !slices.Contains(peers.Answering, name) {
			instance.scheduler.RemovePeer(name)
			delete(state.heard, name)
		}
	}
}

// updateReaders assigns the readers of all targets, and claims runs where they have changed.
func (starvation *starvation) updateReaders(simulation *simulation, number int, state *starvedInstance) {
	instance := simulation.instances[number]
	if state.readers == nil {
		state.readers = make([]int, len(simulation.targets))
	}
	changed := make(map[string]bool)
	for index, target := range simulation.targets {
		reader := simulation.reader(index)
		changed[target.id] = reader != state.readers[index]
		state.readers[index] = reader
		instance.scheduler.SetReader(target.id, reader == number, at(simulation.now))
		attached := ""
		if reader != number && reader >= 0 {
			attached = simulation.instances[reader].name
		}
		instance.scheduler.AttachReader(target.id, attached, at(simulation.now))
	}
	for _, claim := range instance.scheduler.Claims(at(simulation.now)) {
		if changed[claim.Target] {
			simulation.claim(number, claim)
		}
	}
}

func (starvation *starvation) losing(now int) bool {
	for _, interval := range starvation.lossy {
		if now >= interval[0] && now < interval[1] {
			if starvation.causes.restartOfAll {
				return starvation.random.IntN(20) == 0 // Requests are carried out at once or late with the same chance.
			}
			return starvation.random.IntN(10) == 0
		}
	}
	return false
}

// poll lets an instance poll a target if that is due.
func (starvation *starvation) poll(simulation *simulation, number, index int) {
	instance, target := simulation.instances[number], simulation.targets[index]
	poller, ok := instance.pollers[target.id]
	if !ok {
		poller = &simulatedPoller{polledAt: -1000}
		instance.pollers[target.id] = poller
	}
	state := instance.scheduler.TargetState(target.id)
	reads := starvation.state(instance).readers != nil && starvation.state(instance).readers[index] == number
	restarted := reads && state.IncarnationSince.After(at(poller.polledAt))
	if starvation.causes.restartOfAll {
		restarted = restarted || reads && state.ReadSince.After(at(poller.polledAt)) && !state.Unreachable && poller.failures == 0
		if starvation.state(instance).awaitsPeers && !state.Occupied && !state.Awaited && !state.Unguarded && poller.failures == 0 {
			return
		}
	}
	// The target has closed the connection on which a poll waits.
	connected := instance.connections[target.id]
	closed := reads && state.watches(at(simulation.now)) && connected != 0 && (target.down(simulation.now) || connected != target.incarnation)
	if poller.underWay || !restarted && !closed && simulation.now-poller.polledAt < poller.pollInterval(state, reads, simulation.now) {
		return
	}
	known, _ := instance.scheduler.Target(target.id)
	decided, clock := simulation.now, instance.connections[target.id]
	timeout := pollTimeoutMS
	if restarted || !reads || !state.Occupied {
		timeout = lookTimeoutMS
	}
	if poller.failures > 0 {
		timeout = degradedPollTimeoutMS
	}
	poller.polledAt, poller.underWay = decided, true
	renews := state.MayRenew(at(decided)) && poller.failures == 0
	if renews {
		instance.scheduler.RecordLeaseRenewal(target.id, at(decided))
	}
	finish := func(stream string, do func()) {
		starvation.handle(simulation, instance, number, stream, func() {
			if poller.underWay && poller.polledAt == decided {
				poller.underWay = false
				do()
			}
		})
	}
	fail := func() {
		if poller.failures++; poller.failures >= failedPolls {
			instance.scheduler.MarkUnreachable(target.id, false, at(simulation.now))
		}
	}
	refuse := func() {
		poller.failures, instance.connections[target.id] = failedPolls, 0
		instance.scheduler.MarkUnreachable(target.id, true, at(simulation.now))
	}
	simulation.after(timeout, func() { finish("", fail) })
	answer := func() {
		incarnation, poll := target.incarnation, simulation.list(number, target, decided)
		simulation.after(1, func() {
			finish("target "+target.id, func() {
				if simulation.now < starvation.state(instance).pollsFailUntil && starvation.random.IntN(20) > 0 {
					poller.underWay = true // The answer is read after the time-out.
					return
				}
				poller.failures, poller.answered = 0, true
				instance.connections[target.id] = incarnation
				poll.Answered, poll.Named = at(simulation.now), known.Incarnation
				simulation.handlePoll(number, target, poll)
			})
		})
	}
	arrive := func() {
		if target.down(simulation.now) {
			simulation.after(1, func() { finish("", refuse) })
			return
		}
		if known.Incarnation < target.fence {
			simulation.after(1, func() {
				finish("", func() {
					poller.failures = 0
					instance.scheduler.HandleFenced(known, at(simulation.now))
				})
			})
			return
		}
		target.fence = known.Incarnation
		if renews {
			lease := decided + 1000
			if clock != target.incarnation {
				lease = simulation.now + 1000
			}
			kind := "poll of another instance"
			if reads {
				kind = "poll of the reader"
			}
			starvation.renew(simulation, target, renewal{instance.name, kind, decided, lease})
		}
		incarnation := target.incarnation
		simulation.after(starvation.random.IntN(50), func() {
			if target.down(simulation.now) || target.incarnation != incarnation {
				simulation.after(1, func() { finish("", fail) })
				return
			}
			answer()
		})
	}
	starvation.handle(simulation, instance, number, "", func() {
		if !poller.underWay || poller.polledAt != decided || starvation.losing(simulation.now) || simulation.spontaneous.reach(simulation, number, index) == cutOff {
			return
		}
		simulation.after(1, arrive)
	})
}

// listStopped lets an instance ask a target for the ends of runs whose stops were accepted if that is due.
func (starvation *starvation) listStopped(simulation *simulation, number, index int) {
	instance, target, sent := simulation.instances[number], simulation.targets[index], simulation.now
	next, needed := instance.scheduler.NextList(target.id)
	poller := instance.pollers[target.id]
	if !needed || at(sent).Before(next) || sent-poller.listedAt < degradedPollTimeoutMS {
		return
	}
	poller.listedAt = sent
	known, _ := instance.scheduler.Target(target.id)
	answer := func() {
		if target.down(simulation.now) || starvation.losing(simulation.now) || simulation.spontaneous.reach(simulation, number, index) == cutOff {
			return
		}
		poll, fenced := simulation.list(number, target, sent), known.Incarnation < target.fence
		target.fence = max(target.fence, known.Incarnation)
		simulation.after(1, func() {
			starvation.handle(simulation, instance, number, "", func() {
				poller.listedAt = 0
				poll.Answered, poll.Named = at(simulation.now), known.Incarnation
				if fenced {
					instance.scheduler.HandleFenced(known, at(simulation.now))
					return
				}
				starvation.counts["list of stopped"]++
				instance.scheduler.HandleStopList(target.id, poll)
			})
		})
	}
	starvation.handle(simulation, instance, number, "", func() { simulation.after(1, answer) })
}

// request delivers a request to a target and returns its answer. A request that gets no answer may still be executed seconds
// later, also by a later incarnation.
func (starvation *starvation) request(simulation *simulation, from int, id string, execute func(*simulatedTarget) StartResult, answer func(StartResult, bool)) {
	instance, target := simulation.instances[from], simulation.targets[simulation.index(id)]
	resolved := false
	resolve := func(result StartResult, answered bool) {
		starvation.handle(simulation, instance, from, "", func() {
			if !resolved {
				resolved = true
				answer(result, answered)
			}
		})
	}
	starvation.handle(simulation, instance, from, "", func() {
		simulation.after(requestTimeoutMS, func() { resolve(StartUnanswered, false) })
		incarnation := target.incarnation
		connected := instance.connections[id]
		switch {
		case starvation.losing(simulation.now):
			starvation.counts["late"]++
			simulation.after(starvation.drawRequestDelay(), func() {
				if !target.down(simulation.now) {
					starvation.executing, starvation.sentBy = true, instance.name
					execute(target)
					starvation.executing = false
				}
			})
			return
		case target.down(simulation.now):
			instance.connections[id] = 0
			if connected == 0 || starvation.random.IntN(4) == 0 {
				simulation.after(1, func() { resolve(StartUnsent, false) })
			} else {
				simulation.after(1, func() { resolve(StartUnanswered, false) })
			}
			return
		}
		simulation.after(1+starvation.random.IntN(2), func() {
			if target.down(simulation.now) || target.incarnation != incarnation {
				resolve(StartUnanswered, false)
				return
			}
			starvation.sentBy = instance.name
			result := execute(target)
			if starvation.losing(simulation.now) {
				return
			}
			simulation.after(1+starvation.random.IntN(2), func() {
				if target.incarnation == incarnation {
					instance.connections[id] = incarnation
				}
				resolve(result, true)
			})
		})
	})
}

// renew extends the lease of a target.
func (starvation *starvation) renew(simulation *simulation, target *simulatedTarget, renewal renewal) {
	if renewal.ends > target.leaseEnd {
		target.leaseEnd = renewal.ends
		starvation.renewals[target.id] = renewal
		simulation.spontaneous.trace(simulation, "%s of %s, decided at %d ms, renews the lease of %s/%d until %d ms", renewal.kind, renewal.by, renewal.decided, target.id, target.incarnation, target.leaseEnd)
	}
}

// renewByStart extends the lease of a target by a start, whether that is accepted or not.
func (starvation *starvation) renewByStart(simulation *simulation, target *simulatedTarget, start *StartTask) {
	if starvation == nil {
		return
	}
	issued := int(start.Issued.Sub(origin) / time.Millisecond)
	lease, kind := issued+1000, "start"
	if starvation.outlivesDeadline(target, start) {
		lease = simulation.now + 1000
		kind = "start for a former incarnation"
	}
	if lease > simulation.now {
		starvation.renew(simulation, target, renewal{starvation.sentBy, kind, issued, lease})
	}
}

// sender returns the incarnation that has sent the request that a target executes.
func (starvation *starvation) sender() string {
	if starvation == nil {
		return ""
	}
	return starvation.sentBy
}

// executesLate reports whether the request that a target executes is late.
func (starvation *starvation) executesLate() bool { return starvation != nil && starvation.executing }

// outlivesDeadline reports whether a start is meant for a former incarnation of the target, on whose clock its deadline lies
// far ahead.
func (starvation *starvation) outlivesDeadline(target *simulatedTarget, start *StartTask) bool {
	return starvation != nil && start.Incarnation < target.incarnation
}

// recordAction records what explains a later start of a task.
func (starvation *starvation) recordAction(simulation *simulation, number int, action Action) {
	if starvation == nil {
		return
	}
	switch action := action.(type) {
	case RunLost:
		starvation.lost[action.Run.Task] = fmt.Sprintf("%v by n%d at %d ms (%v on %s)", action.Reason, number, simulation.now, action.Run, action.Target)
	case StopRun:
		key := fmt.Sprintf("%s %v", action.RunTarget.ID, action.Run)
		if _, ok := starvation.stopRequested[key]; !ok {
			starvation.stopRequested[key] = simulation.now
		}
	}
}

// checkStart records a start of a task while another run of it goes on.
func (starvation *starvation) checkStart(simulation *simulation, target *simulatedTarget, owner int, start *StartTask) {
	if starvation == nil {
		return
	}
	starvation.counts["start"]++
	for _, other := range simulation.targets {
		former := other.runs[start.Run.Task]
		if former == nil {
			continue
		}
		first := former.accepted
		stop := "no stop of the first run"
		if at, ok := starvation.stopRequested[fmt.Sprintf("%s %v", other.id, first.run)]; ok {
			stop = fmt.Sprintf("first stop of the first run at %d ms", at)
		}
		owners, order := "one owner", "in time"
		if first.owner != starvation.sentBy {
			owners = "two owners"
		}
		lost := "no loss"
		if starvation.lost[start.Run.Task] != "" && first.owner == starvation.sentBy {
			lost = "lost: " + starvation.lost[start.Run.Task]
		}
		if starvation.executing {
			order = "late"
		} else if first.late {
			order = "the first late"
		}
		cause := owners + ", order " + order + ", " + strings.Fields(lost)[0]
		if len(strings.Fields(lost)) > 2 {
			cause += " " + strings.Fields(lost)[1]
		}
		renewal := starvation.renewals[other.id]
		cause += starvation.sinceRestart(first, &renewal, target, start)
		if strings.Contains(cause, "lapsed") {
			by := "the owner"
			if renewal.by != starvation.sentBy {
				by = "a third instance"
			}
			cause += fmt.Sprintf(", lease renewed by %s (%s)", by, renewal.kind)
			if state := starvation.state(simulation.instances[owner]); state.readers[simulation.index(other.id)] == owner {
				cause += ", owner reads"
			}
		}
		if !strings.HasPrefix(stop, "no") {
			cause += ", stop requested"
		}
		if other == target {
			cause += ", same target"
		}
		job := start.Job
		starvation.twice = append(starvation.twice, twoRuns{cause, fmt.Sprintf(
			"%d ms: %v starts on %s/%d by %s (decided at %v for incarnation %d, late %v) while %v runs on %s/%d by %s since %d ms (late %v, until %d ms, lease until %d ms by %+v); submissions %d, %s, %s",
			simulation.now, start.Run, target.id, target.incarnation, starvation.sentBy, start.Issued.Sub(origin), start.Incarnation, starvation.executing,
			first.run, other.id, first.incarnation, first.owner, first.at, first.late, former.ends, other.leaseEnd, renewal, starvation.submissions[job], lost, stop,
		)})
	}
}

func (simulation *simulation) runStarvation() *starvation {
	simulation.play(simulation.end)
	for _, outcome := range simulation.outcomes {
		if _, ok := outcome.(dispatcher.Complete); ok {
			simulation.starvation.counts["complete"]++
		}
	}
	return simulation.starvation
}

// Instances that get too little processor time must not start a task while another run of it goes on, whichever is the cause.
func TestNoTwoRunsWhileInstancesAreStarved(t *testing.T) {
	tests := []struct {
		name   string
		causes starvationCauses
	}{
		{"pauses", starvationCauses{pauses: true}},
		{"pauses and kills", starvationCauses{pauses: true, kills: true}},
		{"starved readers", starvationCauses{readers: true}},
		{"late orders", starvationCauses{lateOrders: true}},
		{"restart of all", starvationCauses{restartOfAll: true}},
		{"restart of all, targets end again", starvationCauses{restartOfAll: true, endAgain: true}},
		{"all", starvationCauses{pauses: true, readers: true, lateOrders: true}},
	}
	seeds := 10
	if *starvationSeeds > 0 {
		seeds = *starvationSeeds
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			causes, counts, failing := make(map[string]int), make(map[string]int), 0
			for offset := range uint64(seeds) {
				seed := *starvationFirst + offset
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					starvation := newStarvationSimulation(seed, test.causes).runStarvation()
					failing += min(1, len(starvation.twice))
					addCounts(counts, starvation.counts)
					for _, pair := range starvation.twice {
						causes[pair.cause]++
						t.Errorf("seed %d: %s: %s", seed, pair.cause, pair.text)
					}
				})
			}
			t.Logf("%d of %d seeds with two runs of a task at once; %v", failing, seeds, counts)
			for _, cause := range slices.Sorted(maps.Keys(causes)) {
				t.Logf("%4d %s", causes[cause], cause)
			}
		})
	}
}

// An order for a former incarnation of a target must neither start a run on a later one that some instance has polled, nor
// renew the lease of other runs there: no instance but its owner knows of it, and the owner may be lost.
func TestOrderForFormerIncarnationIsNotCarriedOut(t *testing.T) {
	const restartMS, executedMS = 100, 2500
	is := is.New(t)
	simulation := newStarvedInstances(1, starvationCauses{}, rand.New(rand.NewPCG(1, 5)), 2, 2)
	owner := simulation.instances[0].scheduler
	owner.Submit(testJob("j", 1, 400, 0), at(0))
	order := drain(owner).starts[0]
	target := simulation.targets[simulation.index(order.Target)]
	simulation.after(1, func() { simulation.instances[0].crashed = true })
	simulation.after(restartMS, func() { simulation.spontaneous.end(simulation, target, 200, "ended") })
	simulation.end = executedMS
	simulation.play(simulation.end)
	is.Equal(target.incarnation, int64(2))
	is.Equal(simulation.instances[1].connections[target.id], int64(2)) // the reader has polled it
	lease := target.leaseEnd
	is.True(simulation.start(target, 0, order) != StartTaken)
	is.Equal(target.leaseEnd, lease)
}
