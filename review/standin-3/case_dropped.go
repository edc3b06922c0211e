package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ackBound is how long a cancelling may wait for its acknowledgement (ackMs), and configBound when a version is in force (configApplyMs).
	ackBound    = 4 * time.Second
	configBound = 2 * time.Second
	// droppedSteps is the number of steps of a job, of a second each.
	droppedSteps = 18
)

// cancelAfterRouteIsDropped hands in jobs, drops their route, and cancels the jobs once that is in force everywhere.
func cancelAfterRouteIsDropped(deployment *deployment, trouble bool) (result, error) {
	for i, zone := range zones {
		deployment.add("frontend-"+zone+"-1", zone, 0.4)
		for number := range 3 {
			if _, err := deployment.fleet.add(fmt.Sprintf("i-%d%d", i, number), zone, 32000, "a", "r"+zone); err != nil {
				return failed, err
			}
		}
	}
	if err := deployment.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var outcome atomic.Int64
	var clients sync.WaitGroup
	for number, instance := range deployment.instances {
		clients.Go(func() {
			if deployment.runsAfterCancel(instance, deployment.instances[(number+1)%3]) {
				outcome.Store(int64(broken))
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		deployment.configure(7, "r")
		deployment.record.line("operator: version 7 is acknowledged; it has no route with the prefix /q/")
	}
	clients.Wait()
	return result(outcome.Load()), nil
}

// runsAfterCancel hands in a job, cancels it some time later, at two instances and again until that is acknowledged, and reports whether its
// tasks start later than the rule allows.
func (deployment *deployment) runsAfterCancel(first, second *instance) bool {
	id := newID()
	answered := make(chan answer, 1)
	go func() {
		// Steps of one task, one after the other.
		var phases []phase
		for number := range droppedSteps {
			next := phase{Count: 1, CPU: 1000, MemMB: 64}
			if number > 0 {
				next.DependsOn = []int{number - 1}
			}
			phases = append(phases, next)
		}
		answered <- deployment.submit(first, id, time.Second, 30*time.Second, phases...)
	}()
	time.Sleep(time.Second + configBound + 500*time.Millisecond)
	sent := time.Now()
	bound := sent.Add(ackBound + cancelBound)
	for number := 0; time.Since(sent) < ackBound; number++ {
		to := first
		if number%2 == 1 {
			to = second
		}
		if got := deployment.cancel(to, id); got.status >= 200 && got.status < 300 || got.status == 410 {
			bound = got.at.Add(cancelBound)
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	<-answered
	late := false
	for _, start := range deployment.fleet.startsOf(id) {
		if start.began.After(bound) {
			deployment.record.say("UNASKED: %s started %d ms after its job's cancelling was first sent, %d ms later than allowed", start.task,
				start.began.Sub(sent).Milliseconds(), start.began.Sub(bound).Milliseconds())
			late = true
		}
	}
	return late
}
