package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// resendPause is the time between the end of a channel and the next attempt (retransmitMs).
	resendPause = 1300 * time.Millisecond
	// affinityRounds is how many jobs are sent twice.
	affinityRounds = 8
)

// sendsSpreadJobAgain sends jobs of two steps, whose first step has more tasks than there are runners and allows one on each at a time. The channel of a
// job is reset once its first step is done, and the job is sent again later, as the pages say.
func sendsSpreadJobAgain(deployment *deployment, trouble bool) (result, error) {
	const runners = 8
	for _, zone := range zones {
		deployment.add("frontend-"+zone+"-1", zone, 0.4)
	}
	for number := range runners {
		zone := zones[number%len(zones)]
		if _, err := deployment.fleet.add(fmt.Sprintf("i-%02d", number), zone, 32000, "a", "r"+zone); err != nil {
			return failed, err
		}
	}
	if err := deployment.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	phases := func() []phase {
		return []phase{{Count: runners + runners/2, CPU: 4000, MemMB: 64, AntiAffinity: 1}, {Count: 1, CPU: 4000, MemMB: 64, DependsOn: []int{0}}}
	}
	const work = 300 * time.Millisecond
	outcome := held
	for round := range affinityRounds {
		id, first := newID(), deployment.instances[round%len(deployment.instances)]
		// Another channel to the same instance stays open.
		var other sync.WaitGroup
		other.Go(func() {
			deployment.submit(first, newID(), 900*time.Millisecond, 5*time.Second, phase{Count: 1, CPU: 1000, MemMB: 64})
		})
		wait := 5 * time.Second
		if trouble {
			deployment.submitAndReset(first, id, work, wait, 750*time.Millisecond, phases()...)
		} else {
			deployment.submit(first, id, work, wait, phases()...)
		}
		time.Sleep(resendPause)
		if trouble {
			deployment.submit(first, id, work, wait, phases()...)
		}
		other.Wait()
		if deployment.isCrowded(id) {
			outcome = broken
		}
	}
	return outcome, nil
}

// isCrowded reports whether a task of the first step of a job has started on a runner on which another one was at work.
func (deployment *deployment) isCrowded(id string) bool {
	crowded := false
	starts := deployment.fleet.startsOf(id)
	for _, added := range starts {
		for _, present := range starts {
			bothFirst := strings.HasPrefix(added.task, id+".0.0.") && strings.HasPrefix(present.task, id+".0.0.")
			if bothFirst && added.runner == present.runner && present.began.Before(added.began) && (present.ended.IsZero() || present.ended.After(added.began)) {
				deployment.record.say("ROUTE: %s, attempt %d, started at %d ms on %s, where %s, attempt %d, was at work from %d to %d ms",
					added.task, added.attempt, deployment.record.ms(added.began), added.runner, present.task, present.attempt,
					deployment.record.ms(present.began), deployment.record.ms(present.ended))
				crowded = true
			}
		}
	}
	return crowded
}
