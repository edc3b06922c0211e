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
	"github.com/hyssoplift/hyssoplift/isolator"
)

// The simulation runs the schedulers of several instances against targets in virtual time. Requests are lost or
// delayed, targets become unreachable, instances crash or pause, and links break. It checks that
//
//   - no task runs twice at the same time on reachable targets;
//   - a refused job has never started;
//   - each job of a live instance is answered by its deadline;
//   - no target runs more than it has capacity for.
//
// A naive version starts a task elsewhere as soon as a request gets no answer; it shows that the checks can fail.

const (
	simulatedInstances = 3
	simulatedTargets   = 6
	simulationEndMS    = 6000
	simulationStepMS   = 5
)

type simulatedRun struct {
	run        Run
	milliCores int64
	ends       int
	accepted   *acceptedRun
}

type simulatedTarget struct {
	id              string
	used            int64
	runs            map[string]*simulatedRun
	highestAttempt  map[string]int64
	ended           []End
	lastSeq         int64
	leaseEnd        int
	unreachableFrom int
	unreachableTo   int
	// downUntil is when the target's process runs again after a crash. Until then, connections to it are refused.
	downUntil   int
	incarnation int64
	// fence is the highest incarnation for which the present one has seen a request, in simulations of instances that get too
	// little processor time.
	fence int64
	speed float64
}

type simulatedInstance struct {
	scheduler   *Scheduler
	name        string
	crashed     bool
	pausedUntil int
	// pausedAt is when the instance was last paused.
	pausedAt     int
	acknowledged map[string]int64
	// incarnations holds the incarnations of the targets for which acknowledged counts.
	incarnations map[string]int64
	// pollers and connections are used in simulations with spontaneous ends; connections holds the incarnations of the
	// targets that the instance has a connection to.
	pollers     map[string]*simulatedPoller
	connections map[string]int64
}

type simulatedEvent struct {
	at  int
	seq int
	do  func()
}

type simulation struct {
	seed      uint64
	random    *rand.Rand
	now       int
	seq       int
	events    []simulatedEvent
	targets   []*simulatedTarget
	instances []*simulatedInstance
	naive     bool
	// forgetful means that instances forget at once which targets were lost under which tasks.
	forgetful      bool
	losingRequests bool
	started        map[string]bool
	outcomes       map[string]dispatcher.Outcome
	deadlines      map[string]int
	origin         map[string]int
	duplicateRuns  int
	violations     []string
	end            int
	// crashing is set in simulations with tasks that crash their targets.
	crashing *crashingTasks
	// spontaneous is set in simulations with targets that end for reasons of their own.
	spontaneous *spontaneousEnds
	// starvation is set in simulations of instances that get too little processor time.
	starvation *starvation
	// links is set in simulations of instances with narrow links, and acting is the instance that sends.
	links  *narrowLinks
	acting int
}

func newSimulation(seed uint64, naive bool) *simulation {
	return newSizedSimulation(seed, naive, simulatedTargets, simulatedInstances, nil)
}

func newSizedSimulation(seed uint64, naive bool, targets, instances int, spontaneous *spontaneousEnds) *simulation {
	simulation := &simulation{
		seed: seed, spontaneous: spontaneous, end: simulationEndMS,
		random: rand.New(rand.NewPCG(seed, 1)), naive: naive, started: make(map[string]bool),
		outcomes: make(map[string]dispatcher.Outcome), deadlines: make(map[string]int), origin: make(map[string]int),
	}
	for _, info := range testTargets(targets) {
		simulation.targets = append(simulation.targets, &simulatedTarget{
			id: info.ID, runs: make(map[string]*simulatedRun), highestAttempt: make(map[string]int64), speed: 0.6 + simulation.random.Float64(), unreachableFrom: simulationEndMS * 2, incarnation: 1,
		})
	}
	for number := range instances {
		simulation.instances = append(simulation.instances, simulation.newInstance(number, fmt.Sprintf("n%d", number)))
	}
	return simulation
}

// newInstance returns an instance that has just started.
func (simulation *simulation) newInstance(number int, name string) *simulatedInstance {
	instance := &simulatedInstance{
		name: name, acknowledged: make(map[string]int64), incarnations: make(map[string]int64),
		pollers: make(map[string]*simulatedPoller), connections: make(map[string]int64),
	}
	domain := "a"
	if simulation.spontaneous != nil {
		domain = simulatedRack(number)
	}
	instance.scheduler = New(instance.name, domain)
	instance.scheduler.SetTargets(simulation.infos(), at(simulation.now))
	return instance
}

// infos returns the discovery entries of the targets.
func (simulation *simulation) infos() []Target {
	infos := testTargets(len(simulation.targets))
	for index, target := range simulation.targets {
		infos[index].Incarnation = target.incarnation
		if simulation.spontaneous != nil {
			infos[index].Address, infos[index].Domain = fmt.Sprintf("10.0.0.%d:1", index), simulatedRack(index)
		}
	}
	return infos
}

func (simulation *simulation) after(delay int, do func()) {
	simulation.seq++
	simulation.events = append(simulation.events, simulatedEvent{simulation.now + delay, simulation.seq, do})
}

func (simulation *simulation) recordViolation(format string, arguments ...any) {
	simulation.violations = append(simulation.violations, fmt.Sprintf("%d ms: ", simulation.now)+fmt.Sprintf(format, arguments...))
}

func (simulation *simulation) up(instance int) bool {
	return !simulation.instances[instance].crashed && simulation.now >= simulation.instances[instance].pausedUntil
}

func (target *simulatedTarget) unreachable(now int) bool {
	return now >= target.unreachableFrom && now < target.unreachableTo
}

func (target *simulatedTarget) down(now int) bool { return now < target.downUntil }

// reader returns the instance that reads a target: the first responsive one, starting at the target's index, or -1.
func (simulation *simulation) reader(target int) int {
	for offset := range simulation.instances {
		instance := (target + offset) % len(simulation.instances)
		if simulation.responsive(instance) {
			return instance
		}
	}
	return -1
}

func (simulation *simulation) run(jobs int) {
	for number := range jobs {
		simulation.after(simulation.random.IntN(simulationEndMS/2), func() { simulation.submit(number) })
	}
	simulation.after(500+simulation.random.IntN(2000), func() { simulation.instances[0].crashed = true })
	simulation.after(500+simulation.random.IntN(2000), func() { simulation.instances[1].pausedUntil = simulation.now + 1500 })
	for _, target := range simulation.targets[:2] {
		target.unreachableFrom = 500 + simulation.random.IntN(2500)
		target.unreachableTo = target.unreachableFrom + 300 + simulation.random.IntN(2000)
	}
	lossyFrom := simulation.random.IntN(2500)
	simulation.play(lossyFrom)
	simulation.checkOutcomes()
}

// play runs the simulation to its end; requests are lost for 1,500 ms from lossyFrom.
func (simulation *simulation) play(lossyFrom int) {
	for ; simulation.now < simulation.end; simulation.now++ {
		simulation.losingRequests = simulation.now >= lossyFrom && simulation.now < lossyFrom+1500
		simulation.runEvents()
		simulation.endRuns()
		if simulation.now%simulationStepMS == 0 {
			simulation.step()
		}
	}
}

func (simulation *simulation) runEvents() {
	var due []simulatedEvent
	rest := simulation.events[:0]
	for _, event := range simulation.events {
		if event.at <= simulation.now {
			due = append(due, event)
		} else {
			rest = append(rest, event)
		}
	}
	simulation.events = rest
	sort.Slice(due, func(i, j int) bool { return due[i].at < due[j].at || due[i].at == due[j].at && due[i].seq < due[j].seq })
	for _, event := range due {
		event.do()
	}
}

func (simulation *simulation) submit(number int) {
	id := fmt.Sprintf("j%d", number)
	entry := simulation.random.IntN(len(simulation.instances))
	if !simulation.up(entry) {
		return
	}
	simulation.origin[id] = entry
	simulation.deadlines[id] = simulation.now + 3000
	instance := simulation.instances[entry]
	simulation.acting = entry
	instance.scheduler.Submit(testJob(id, 1+simulation.random.IntN(4), 50+simulation.random.IntN(800), simulation.now), at(simulation.now))
	simulation.runActions(entry)
}

// step lets each instance that is up handle time-based events, poll its targets and send messages.
func (simulation *simulation) step() {
	for number, instance := range simulation.instances {
		if instance.crashed || simulation.now < instance.pausedUntil {
			continue
		}
		simulation.acting = number
		if simulation.starvation != nil {
			simulation.starvation.step(simulation, number)
			continue
		}
		if instance.pausedUntil != 0 {
			instance.scheduler.RecordPause(at(simulation.now))
			instance.pausedUntil = 0
			simulation.sendLosses(instance)
		}
		if simulation.forgetful {
			instance.scheduler.isolator = isolator.New()
		}
		instance.scheduler.Tick(at(simulation.now))
		instance.scheduler.ExpireOffers(at(simulation.now))
		if simulation.now%100 == 0 {
			instance.scheduler.Sweep(at(simulation.now))
			instance.scheduler.SetPeers(simulation.peersOf(number))
			if simulation.spontaneous != nil {
				simulation.spontaneous.stopOrphans(simulation, number)
			}
		}
		if simulation.now%50 == 0 {
			simulation.poll(number)
		}
		simulation.listStopped(number)
		if simulation.now%int(ClaimRepeatInterval/time.Millisecond) == 0 {
			for _, claim := range instance.scheduler.Claims(at(simulation.now)) {
				simulation.claim(number, claim)
			}
		}
		simulation.runActions(number)
	}
}

func (simulation *simulation) poll(number int) {
	instance := simulation.instances[number]
	for index, target := range simulation.targets {
		reads := simulation.reader(index) == number
		instance.scheduler.SetReader(target.id, reads, at(simulation.now))
		if simulation.spontaneous != nil {
			simulation.spontaneous.poll(simulation, number, index)
			continue
		}
		if simulation.links != nil {
			simulation.links.poll(simulation, number, index)
			continue
		}
		if !reads && !instance.scheduler.TargetState(target.id).Unverified {
			continue
		}
		if target.down(simulation.now) {
			instance.scheduler.MarkUnreachable(target.id, true, at(simulation.now))
			continue
		}
		state := instance.scheduler.TargetState(target.id)
		if target.unreachable(simulation.now) || simulation.losingRequests && simulation.random.IntN(10) == 0 {
			if target.unreachable(simulation.now) {
				instance.scheduler.MarkUnreachable(target.id, false, at(simulation.now))
			}
			continue
		}
		if state.MayRenew(at(simulation.now)) {
			instance.scheduler.RecordLeaseRenewal(target.id, at(simulation.now))
			target.leaseEnd = max(target.leaseEnd, simulation.now+1000)
		}
		simulation.answerPoll(number, target, simulation.now-1)
	}
}

// listStopped lets an instance learn of the ends of runs whose stops were accepted.
func (simulation *simulation) listStopped(number int) {
	scheduler := simulation.instances[number].scheduler
	for index, target := range simulation.targets {
		next, needed := scheduler.NextList(target.id)
		if !needed || at(simulation.now).Before(next) || target.unreachable(simulation.now) || target.down(simulation.now) ||
			simulation.losingRequests && simulation.random.IntN(10) == 0 || simulation.spontaneous != nil && simulation.spontaneous.reach(simulation, number, index) != reachable {
			continue
		}
		scheduler.HandleStopList(target.id, simulation.list(number, target, simulation.now))
	}
}

// answerPoll delivers a target's answer to a poll that was sent at the given time.
func (simulation *simulation) answerPoll(number int, target *simulatedTarget, sent int) {
	simulation.handlePoll(number, target, simulation.list(number, target, sent))
}

// list returns a target's answer to a poll of an instance.
func (simulation *simulation) list(number int, target *simulatedTarget, sent int) PollResult {
	instance := simulation.instances[number]
	if instance.incarnations[target.id] != target.incarnation {
		instance.incarnations[target.id], instance.acknowledged[target.id] = target.incarnation, 0
	}
	poll := PollResult{Incarnation: target.incarnation, Sent: at(sent), Answered: at(simulation.now)}
	for _, running := range target.sorted() {
		poll.Running = append(poll.Running, ActiveRun{Run: running.run})
	}
	for _, end := range target.ended {
		if end.Seq > instance.acknowledged[target.id] {
			poll.Ended = append(poll.Ended, end)
		}
	}
	return poll
}

// handlePoll lets an instance handle a target's answer to a poll.
func (simulation *simulation) handlePoll(number int, target *simulatedTarget, poll PollResult) {
	instance := simulation.instances[number]
	if !instance.scheduler.HandlePoll(target.id, poll) && simulation.starvation != nil {
		return
	}
	for _, end := range poll.Ended {
		end.Incarnation = poll.Incarnation
		owner := instance.scheduler.Owner(target.id, end.Run)
		instance.acknowledged[target.id] = end.Seq
		instance.scheduler.HandleEnd(target.id, end, at(simulation.now))
		simulation.send(owner, func(peer *Scheduler) { peer.HandleEnd(target.id, end, at(simulation.now)) })
	}
	instance.scheduler.StopOrphans(target.id, simulation.alive, at(simulation.now))
	if report, due := instance.scheduler.RenewalReport(target.id, at(simulation.now)); due {
		simulation.report(number, report)
	}
}

// alive reports whether the other instances take the owner of a run for responsive.
func (simulation *simulation) alive(owner string) bool {
	if simulation.starvation != nil {
		return simulation.starvation.alive(simulation, owner)
	}
	for number := range simulation.instances {
		if simulation.instances[number].name == owner {
			return simulation.responsive(number)
		}
	}
	return false
}

// peersOf returns the other instances that an instance takes for responsive.
func (simulation *simulation) peersOf(number int) Peers {
	if simulation.starvation != nil {
		return simulation.starvation.peersOf(simulation, number)
	}
	peers := Peers{Complete: true}
	for other, instance := range simulation.instances {
		if other != number && simulation.responsive(other) {
			peers.Answering = append(peers.Answering, instance.name)
		}
	}
	return peers
}

// answerQuery lets an instance answer whether it owns a run.
func (simulation *simulation) answerQuery(from, to string, query OwnedRun, peer *Scheduler) {
	if claim, owned := peer.HandleOwnerQuery(query, at(simulation.now)); owned {
		simulation.send(from, func(reader *Scheduler) { reader.HandlePeerClaim(to, claim, at(simulation.now)) })
		return
	}
	simulation.send(from, func(reader *Scheduler) { reader.HandlePeerDisowned(to, query, at(simulation.now)) })
}

// send delivers a message to an instance after a short delay, if it is up then.
func (simulation *simulation) send(name string, do func(*Scheduler)) {
	simulation.sendSized(name, messageBytes, do)
}

// sendSized delivers a message of a size that matters on narrow links.
func (simulation *simulation) sendSized(name string, bytes int, do func(*Scheduler)) {
	if simulation.starvation != nil {
		simulation.starvation.send(simulation, name, do)
		return
	}
	queued := simulation.links.transmit(simulation.acting, bytes, simulation.now)
	for number := range simulation.instances {
		if simulation.instances[number].name != name {
			continue
		}
		simulation.after(queued+1+simulation.random.IntN(3), func() {
			if simulation.up(number) {
				simulation.acting = number
				do(simulation.instances[number].scheduler)
				simulation.runActions(number)
			} else if simulation.responsive(number) {
				simulation.whenUp(number, func(instance *simulatedInstance) { do(instance.scheduler) })
			}
		})
	}
}

// broadcast delivers a message to all other instances.
func (simulation *simulation) broadcast(from int, do func(*Scheduler)) {
	for number, instance := range simulation.instances {
		if number != from {
			simulation.send(instance.name, do)
		}
	}
}

// sendLosses sends what the other instances know about losses to one that may have missed it.
func (simulation *simulation) sendLosses(to *simulatedInstance) {
	for _, other := range simulation.instances {
		if other == to {
			continue
		}
		for _, loss := range other.scheduler.Losses() {
			simulation.send(to.name, func(peer *Scheduler) { peer.HandlePeerLoss(loss, at(simulation.now)) })
		}
	}
}

func (simulation *simulation) report(from int, report CapacityReport) {
	if simulation.links != nil {
		simulation.links.reports[from] = append(simulation.links.reports[from], report)
		return
	}
	if simulation.starvation != nil {
		simulation.starvation.report(simulation, from, report)
		return
	}
	for number, instance := range simulation.instances {
		if number != from {
			simulation.send(instance.name, func(peer *Scheduler) { peer.HandlePeerReport(report, at(simulation.now)) })
		}
	}
}

func (simulation *simulation) claim(from int, claim Claim) {
	reader := simulation.reader(simulation.index(claim.Target))
	if reader < 0 || reader == from {
		return
	}
	owner := simulation.instances[from].name
	simulation.send(simulation.instances[reader].name, func(peer *Scheduler) {
		if end, ended := peer.HandlePeerClaim(owner, claim, at(simulation.now)); ended {
			simulation.send(owner, func(back *Scheduler) { back.HandleEnd(claim.Target, end, at(simulation.now)) })
		}
		if simulation.spontaneous != nil {
			simulation.spontaneous.wake(simulation, reader, claim.Target)
		}
	})
}

func (simulation *simulation) index(id string) int {
	for index, target := range simulation.targets {
		if target.id == id {
			return index
		}
	}
	panic("unknown target " + id)
}

// runActions carries out the actions of an instance.
func (simulation *simulation) runActions(number int) {
	scheduler := simulation.instances[number].scheduler
	if simulation.starvation != nil {
		simulation.acting = number
	}
	for _, action := range scheduler.TakeActions() {
		simulation.spontaneous.traceAction(simulation, number, action)
		simulation.starvation.recordAction(simulation, number, action)
		switch action := action.(type) {
		case StartTask:
			simulation.claim(number, action.Claim)
			if simulation.spontaneous != nil {
				simulation.spontaneous.wake(simulation, number, action.Target)
			}
			simulation.requestStart(number, action, true)
		case StopRun:
			simulation.request(number, action.RunTarget.ID, time.Time{}, func(target *simulatedTarget) StartResult { return simulation.stop(target, &action) },
				func(result StartResult, answered bool) {
					switch {
					case result == StartFenced:
						scheduler.HandleFenced(action.RunTarget, at(simulation.now))
					case answered:
						scheduler.HandleAccepted(action.RunTarget, at(simulation.now))
					}
					scheduler.HandleStopResult(action.RunTarget.ID, action.Run, answered && result != StartFenced, at(simulation.now))
				})
		case RelayStop:
			if reader := simulation.reader(simulation.index(action.Target)); reader >= 0 && reader != number {
				simulation.send(simulation.instances[reader].name, func(peer *Scheduler) {
					peer.HandlePeerStop(scheduler.self, action.Target, action.Run)
				})
			}
		case QueryOwner:
			for _, to := range action.To {
				simulation.send(to, func(peer *Scheduler) {
					simulation.answerQuery(simulation.instances[number].name, to, action.OwnedRun, peer)
				})
			}
		case AnnounceLeaseEnd:
			for _, to := range action.To {
				simulation.send(to, func(peer *Scheduler) { peer.HandlePeerLeaseEnd(scheduler.self, action.Target, action.End) })
			}
		case SuspendRenewals:
			simulation.broadcast(number, func(peer *Scheduler) {
				peer.HandlePeerSuspension(simulation.instances[number].name, action.Suspension, at(simulation.now))
			})
		case AnswerJob:
			if simulation.starvation != nil && simulation.origin[action.Job] != number {
				continue // The caller waits for the answer of another instance.
			}
			simulation.outcomes[action.Job] = action.Outcome
			simulation.starvation.recordAnswer(simulation, action)
			if simulation.crashing != nil {
				simulation.crashing.recordAnswer(simulation, action)
			}
			if _, refused := action.Outcome.(dispatcher.Refused); refused && simulation.started[action.Job] {
				simulation.recordViolation("job %s was refused after it had started", action.Job)
			}
		case LossRecorded:
			if action.Share {
				for _, instance := range simulation.instances {
					if instance.scheduler != scheduler {
						simulation.sendSized(instance.name, messageBytes+suspectBytes*len(action.Suspects), func(peer *Scheduler) { peer.HandlePeerLoss(action.Loss, at(simulation.now)) })
					}
				}
			}
		case LossWithdrawn:
			simulation.broadcast(number, func(peer *Scheduler) {
				peer.HandlePeerWithdrawnLoss(action.Target, action.Incarnation, at(simulation.now))
			})
		case TargetRestarted:
			if simulation.reader(simulation.index(action.Target)) == number {
				simulation.broadcast(number, func(peer *Scheduler) { peer.HandlePeerRestart(action.Target, action.Incarnation, at(simulation.now)) })
			}
		case WithdrawClaim:
			if reader := simulation.reader(simulation.index(action.Target)); reader >= 0 && reader != number {
				simulation.send(simulation.instances[reader].name, func(peer *Scheduler) { peer.HandlePeerWithdrawal(action.Target, action.Run, at(simulation.now)) })
			}
		case OfferCapacity, RunLost:
		}
	}
	for _, report := range scheduler.DueReports(at(simulation.now)) {
		simulation.report(number, report)
	}
}

// requestStart requests a start, and again as its instance decides.
func (simulation *simulation) requestStart(number int, start StartTask, isFirst bool) {
	scheduler := simulation.instances[number].scheduler
	execute := func(target *simulatedTarget) StartResult { return simulation.start(target, number, start) }
	simulation.request(number, start.Target, start.TransmittedAt, execute, func(result StartResult, answered bool) {
		if !answered && simulation.naive {
			result = StartRefused
		}
		if simulation.spontaneous != nil {
			simulation.spontaneous.recordResult(simulation, number, start, result)
		}
		pause, again := scheduler.RepeatStart(&start, result, isFirst, at(simulation.now))
		switch {
		case again:
			simulation.after(int(pause/time.Millisecond), func() {
				switch {
				case simulation.instances[number].scheduler != scheduler || simulation.instances[number].crashed:
				case scheduler.MayRequestStart(&start, at(simulation.now)):
					simulation.requestStart(number, start, false)
				default:
					scheduler.HandleRepeatedStartResult(&start, StartUnanswered, at(simulation.now))
				}
			})
		case isFirst:
			scheduler.HandleStartResult(start.Target, start.Run, result, at(simulation.now))
		default:
			scheduler.HandleRepeatedStartResult(&start, result, at(simulation.now))
		}
	})
}

// request delivers a request to a target and returns its answer. A request that gets no answer may still be executed
// seconds later. transmittedAt is when a narrow link will have sent it; zero if it was not queued yet.
func (simulation *simulation) request(from int, id string, transmittedAt time.Time, execute func(*simulatedTarget) StartResult, answer func(StartResult, bool)) {
	if simulation.starvation != nil {
		simulation.starvation.request(simulation, from, id, execute, answer)
		return
	}
	if simulation.spontaneous != nil {
		simulation.spontaneous.request(simulation, from, id, execute, answer)
		return
	}
	if simulation.links != nil {
		simulation.links.request(simulation, from, id, transmittedAt, execute, answer)
		return
	}
	target := simulation.targets[simulation.index(id)]
	reply := func(delay int, result StartResult, answered bool) {
		simulation.after(delay, func() {
			if !simulation.instances[from].crashed {
				answer(result, answered)
				simulation.runActions(from)
			}
		})
	}
	if target.down(simulation.now) {
		reply(1, StartUnsent, false)
		return
	}
	const timeout = 60
	late := simulation.losingRequests && simulation.random.IntN(10) == 0
	if target.unreachable(simulation.now) || late {
		if late {
			simulation.after(2000+simulation.random.IntN(2000), func() {
				if !target.unreachable(simulation.now) && !target.down(simulation.now) {
					execute(target)
				}
			})
		}
		reply(timeout, StartUnanswered, false)
		return
	}
	simulation.after(1, func() {
		if target.down(simulation.now) {
			reply(1, StartUnanswered, false)
			return
		}
		result := execute(target)
		if target.down(simulation.now) {
			// The target crashed before it could answer.
			reply(1, StartUnanswered, false)
			return
		}
		if simulation.losingRequests && simulation.random.IntN(10) == 0 {
			reply(timeout, StartUnanswered, false)
			return
		}
		reply(1, result, true)
	})
}

func (simulation *simulation) start(target *simulatedTarget, owner int, start StartTask) StartResult {
	issued := int(start.Issued.Sub(origin) / time.Millisecond)
	running, ok := target.runs[start.Run.Task]
	if simulation.starvation != nil {
		if start.Incarnation < target.fence {
			return StartFenced
		}
		target.fence = start.Incarnation
	}
	simulation.starvation.renewByStart(simulation, target, &start)
	switch {
	case ok && running.run == start.Run:
		return StartTaken
	case start.Run.Attempt <= target.highestAttempt[start.Run.Task]:
		return StartStale
	case simulation.now > issued+1000 && !simulation.starvation.outlivesDeadline(target, &start):
		return StartLate
	case target.used+start.Resources.MilliCores > 32000:
		return StartNoRoom
	}
	simulation.starvation.checkStart(simulation, target, owner, &start)
	for _, other := range simulation.targets {
		if other != target && other.runs[start.Run.Task] != nil {
			simulation.duplicateRuns++
			if !simulation.naive {
				simulation.recordViolation("task %s started on %s by instance %d while it runs on %s", start.Run.Task, target.id, owner, other.id)
			}
		}
	}
	simulation.started[start.Job] = true
	target.leaseEnd = max(target.leaseEnd, issued+1000)
	target.highestAttempt[start.Run.Task] = start.Run.Attempt
	target.used += start.Resources.MilliCores
	ends := simulation.now + int(float64(start.Estimate/time.Millisecond)/target.speed*(0.8+0.4*simulation.random.Float64()))
	accepted := &acceptedRun{owner: simulation.starvation.sender(), late: simulation.starvation.executesLate(), run: start.Run, target: target.id, incarnation: target.incarnation, at: simulation.now}
	target.runs[start.Run.Task] = &simulatedRun{run: start.Run, milliCores: start.Resources.MilliCores, ends: ends, accepted: accepted}
	if simulation.spontaneous != nil {
		simulation.spontaneous.recordStart(simulation, start, accepted)
	}
	if simulation.crashing != nil {
		simulation.crashing.recordStart(simulation, target, start.Run)
	}
	return StartTaken
}

func (simulation *simulation) stop(target *simulatedTarget, stop *StopRun) StartResult {
	run := stop.Run
	if simulation.starvation != nil {
		if stop.RunTarget.Incarnation < target.fence {
			return StartFenced
		}
		target.fence = stop.RunTarget.Incarnation
	}
	target.highestAttempt[run.Task] = max(target.highestAttempt[run.Task], run.Attempt)
	if running, ok := target.runs[run.Task]; ok && running.run.Attempt <= run.Attempt {
		maxDelay := 50
		if simulation.starvation != nil {
			maxDelay = starvedStopMS
		}
		simulation.after(simulation.random.IntN(maxDelay), func() {
			if target.runs[run.Task] == running {
				simulation.endRun(target, running, Stopped)
			}
		})
	}
	return StartTaken
}

// sorted returns the runs in the order of their tasks, so that a seed always yields the same schedule.
func (target *simulatedTarget) sorted() []*simulatedRun {
	if len(target.runs) == 0 {
		return nil
	}
	var runs []*simulatedRun
	for _, task := range slices.Sorted(maps.Keys(target.runs)) {
		runs = append(runs, target.runs[task])
	}
	return runs
}

func (simulation *simulation) endRun(target *simulatedTarget, running *simulatedRun, cause Cause) {
	running.accepted.endedAt, running.accepted.cause = simulation.now, cause.String()
	simulation.spontaneous.trace(simulation, "%s/%d: %v %v", target.id, target.incarnation, running.run, cause)
	delete(target.runs, running.run.Task)
	target.used -= running.milliCores
	target.lastSeq++
	target.ended = append(target.ended, End{Seq: target.lastSeq, Run: running.run, Cause: cause})
}

// endRuns ends the runs that are done or whose target's lease has expired.
func (simulation *simulation) endRuns() {
	for _, target := range simulation.targets {
		for _, running := range target.sorted() {
			switch {
			case simulation.now >= running.ends:
				simulation.endRun(target, running, Done)
			case simulation.now >= target.leaseEnd+20:
				simulation.endRun(target, running, Lapsed)
			}
		}
	}
}

func (simulation *simulation) checkOutcomes() {
	for id, deadline := range simulation.deadlines {
		entry := simulation.instances[simulation.origin[id]]
		if _, answered := simulation.outcomes[id]; !answered && !entry.crashed && deadline < simulation.end-500 {
			simulation.recordViolation("job %s of %s has no answer", id, entry.name)
		}
	}
	if simulation.duplicateRuns > 0 {
		simulation.recordViolation("%d tasks ran twice at once", simulation.duplicateRuns)
	}
}

// simulationSeeds is the number of simulated schedules per test.
const simulationSeeds = 150

// The properties listed above must hold under combined faults, in schedules drawn from seeds.
func TestPropertiesHoldInRandomSchedules(t *testing.T) {
	complete := 0
	for seed := range uint64(simulationSeeds) {
		simulation := newSimulation(seed, false)
		simulation.run(60)
		for _, problem := range simulation.violations {
			t.Errorf("seed %d: %s", seed, problem)
		}
		for _, outcome := range simulation.outcomes {
			if _, ok := outcome.(dispatcher.Complete); ok {
				complete++
			}
		}
	}
	if complete < simulationSeeds*20 {
		t.Errorf("only %d jobs completed; the schedules exercise too little", complete)
	}
}

// The checks must be able to fail: a scheduler that treats a lost answer as a refusal runs tasks twice.
func TestNaiveRetryRunsTasksTwice(t *testing.T) {
	duplicateRuns := 0
	for seed := range uint64(simulationSeeds / 5) {
		simulation := newSimulation(seed, true)
		simulation.run(60)
		duplicateRuns += simulation.duplicateRuns
	}
	if duplicateRuns == 0 {
		t.Error("the naive version ran no task twice")
	}
}
