package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	minRestartRunMS = 600
	maxRestartRunMS = 3000
	// maxEndAfterRestartMS is how long after the instances a target ends again at most.
	maxEndAfterRestartMS = 2500
	// maxEarlyEndMS is how long before the instances a target ends at most.
	maxEarlyEndMS = 100
	// startupGraceMS is how long after its start an instance polls no idle target at most, and minStartupGraceMS how long at
	// least, while it may not know the other instances yet.
	startupGraceMS    = 1000
	minStartupGraceMS = 100
	// refusedResendMS is how long after a refusal a caller sends its job again.
	refusedResendMS = 300
)

// scheduleRestart lets requests get no answer, and then restarts all instances and a quarter of the targets.
func (starvation *starvation) scheduleRestart(simulation *simulation, begin int) {
	if starvation.linked == nil {
		starvation.linked = make(map[[2]string]bool)
		for _, instance := range simulation.instances {
			for _, other := range simulation.instances {
				starvation.link(simulation, instance, other)
			}
		}
	}
	random, killAt := starvation.random, begin+1500
	starvation.lossy = append(starvation.lossy, [2]int{begin, killAt})
	for _, target := range simulation.targets {
		if random.IntN(4) == 0 {
			early, down := random.IntN(2)*random.IntN(maxEarlyEndMS), 100+random.IntN(400)
			simulation.after(killAt-early, func() { simulation.spontaneous.end(simulation, target, down, "ended") })
		}
	}
	if starvation.causes.endAgain {
		starvation.scheduleEndsAfterRestart(simulation, killAt)
	}
	simulation.after(killAt, func() {
		starvation.killedAt = simulation.now
		for number := range simulation.instances {
			starvation.restart(simulation, number)
		}
	})
}

// scheduleEndsAfterRestart ends a quarter of the targets at any time of the seconds after a restart of all instances.
func (starvation *starvation) scheduleEndsAfterRestart(simulation *simulation, killAt int) {
	random := starvation.random
	for _, target := range simulation.targets {
		if random.IntN(4) == 0 {
			down := 100 + random.IntN(300)
			simulation.after(killAt+random.IntN(maxEndAfterRestartMS), func() { simulation.spontaneous.end(simulation, target, down, "ended again") })
		}
	}
}

// drawRestartDelay returns after how long a killed instance is back.
func (starvation *starvation) drawRestartDelay() int {
	if starvation.causes.slowReturn {
		return 750 + starvation.random.IntN(350)
	}
	return 300 + starvation.random.IntN(400)
}

// drawRequestDelay returns after how long a request without an answer is carried out.
func (starvation *starvation) drawRequestDelay() int {
	switch {
	case starvation.causes.endAgain:
		return 100 + starvation.random.IntN(3000)
	case starvation.causes.slowReturn:
		return 50 + starvation.random.IntN(2500)
	}
	return 2000 + starvation.random.IntN(2000)
}

// restart kills an instance and replaces it by one that knows nothing of the others.
func (starvation *starvation) restart(simulation *simulation, number int) {
	former := simulation.instances[number]
	simulation.spontaneous.trace(simulation, "%s is killed", former.name)
	starvation.counts["kill"]++
	former.crashed = true
	for job := range starvationJobs {
		id := fmt.Sprintf("j%d", job)
		if entry, ok := simulation.origin[id]; ok && entry == number && simulation.outcomes[id] == nil {
			delete(simulation.origin, id)
			simulation.after(resendDelayMS, func() { simulation.crashing.resend(simulation, id) })
		}
	}
	simulation.after(starvation.drawRestartDelay(), func() {
		instance := simulation.newInstance(number, former.name+"'")
		simulation.instances[number] = instance
		state := starvation.state(instance)
		state.startedAt, state.awaitsPeers = simulation.now, true
		instance.scheduler.AwaitFirstLook(at(simulation.now), at(simulation.now+minStartupGraceMS))
		simulation.acting = number
		starvation.updateReaders(simulation, number, state)
		simulation.spontaneous.trace(simulation, "%s starts", instance.name)
		for _, other := range simulation.instances {
			if other != instance && !other.crashed {
				simulation.after(20+starvation.random.IntN(280), func() { starvation.link(simulation, instance, other) })
			}
		}
	})
}

// link links two instances, which tell each other what they know.
func (starvation *starvation) link(simulation *simulation, instance, other *simulatedInstance) {
	if instance == other || instance.crashed || other.crashed {
		return
	}
	simulation.spontaneous.trace(simulation, "%s and %s have a link", instance.name, other.name)
	starvation.linked[[2]string{instance.name, other.name}], starvation.linked[[2]string{other.name, instance.name}] = true, true
	for _, pair := range [][2]*simulatedInstance{{instance, other}, {other, instance}} {
		state := starvation.state(pair[0])
		state.heard[pair[1].name], state.heartbeatAt = simulation.now, 0
		simulation.acting = slices.Index(simulation.instances, pair[0])
		starvation.sendKnown(simulation, pair[0], pair[1].name)
	}
}

// updateAwaitsPeers lets an instance poll idle targets once it knows the other instances, as in the executor.
func (starvation *starvation) updateAwaitsPeers(simulation *simulation, state *starvedInstance, peers Peers) {
	sinceStart := simulation.now - state.startedAt
	if sinceStart >= startupGraceMS || sinceStart >= minStartupGraceMS && peers.Complete && len(peers.Answering) > 0 {
		state.awaitsPeers = false
	}
}

// checkFirstLook lets an instance look at the targets that it reads as soon as it knows the others, and start tasks once all are looked
// at, as in the executor.
func (starvation *starvation) checkFirstLook(simulation *simulation, number int, state *starvedInstance) {
	instance := simulation.instances[number]
	if !instance.scheduler.AwaitsFirstLook() {
		return
	}
	starvation.updatePeers(simulation, number, state)
	oldest := state.startedAt
	for _, other := range simulation.instances {
		if _, ok := state.heard[other.name]; ok {
			oldest = min(oldest, starvation.state(other).startedAt)
		}
	}
	simulation.spontaneous.stopOrphans(simulation, number)
	instance.scheduler.CheckFirstLook(at(oldest), at(simulation.now))
}

func (starvation *starvation) hasLink(from, to string) bool {
	return starvation.linked == nil || starvation.linked[[2]string{from, to}]
}

// hasAllLinks reports whether an instance has a link to each other one that is up.
func (starvation *starvation) hasAllLinks(simulation *simulation, number int) bool {
	name := simulation.instances[number].name
	return !slices.ContainsFunc(simulation.instances, func(other *simulatedInstance) bool {
		return other.name != name && !other.crashed && !starvation.hasLink(name, other.name)
	})
}

// recordAnswer lets the caller of a refused job send it again after a restart of all instances.
func (starvation *starvation) recordAnswer(simulation *simulation, answer AnswerJob) {
	if starvation == nil || !starvation.causes.restartOfAll {
		return
	}
	if _, refused := answer.Outcome.(dispatcher.Refused); refused {
		starvation.counts["refused"]++
		simulation.after(refusedResendMS, func() { simulation.crashing.resend(simulation, answer.Job) })
	}
}

// sinceRestart describes two runs of a task by the last restart of all instances.
func (starvation *starvation) sinceRestart(first *acceptedRun, renewal *renewal, target *simulatedTarget, start *StartTask) string {
	if starvation.linked == nil {
		return ""
	}
	text := ", first run of a present instance"
	if first.at < starvation.killedAt {
		text = ", first run of a killed instance, its lease not renewed since"
		if renewal.decided >= starvation.killedAt {
			text = ", first run of a killed instance, its lease renewed by a " + renewal.kind
		}
	}
	if start.Incarnation < target.incarnation {
		text += ", started for a former incarnation"
	}
	return text
}

// A task must not start beside a run of it that a late order has begun on a target which no instance has asked since all were
// restarted. Late orders that begin beside another run are not counted: they cannot be stopped while no instance is up.
func TestNoTaskStartsBesideARunThatNobodyHasLookedFor(t *testing.T) {
	seeds := 10
	if *starvationSeeds > 0 {
		seeds = *starvationSeeds
	}
	counts, late := make(map[string]int), 0
	for offset := range uint64(seeds) {
		seed := *starvationFirst + offset
		starvation := newStarvationSimulation(seed, starvationCauses{restartOfAll: true, slowReturn: true}).runStarvation()
		addCounts(counts, starvation.counts)
		for _, pair := range starvation.twice {
			if pair.late {
				late++
				continue
			}
			t.Errorf("seed %d: %s: %s", seed, pair.cause, pair.text)
		}
	}
	t.Logf("%d late orders beside another run; %v", late, counts)
}
