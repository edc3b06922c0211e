package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// downTime is how long a runner is down after a crash; srv_crash: 5 s by default, 4.5 s in the site's list of troubles.
	downTime = 3 * time.Second
	// kindChanges is how often a runner crashes.
	kindChanges = 10
)

// pauseBefore returns the pause before a crash. The pauses differ, so that crashes and reads of the store are not in step.
func pauseBefore(number int) time.Duration {
	return time.Duration(2500+number*190%500) * time.Millisecond
}

// startsAsAnotherKind lets one of eight runners crash and start again, each time as the other kind and under its id, while jobs come
// that need a runner of the first kind.
func startsAsAnotherKind(deployment *deployment, trouble bool) (result, error) {
	for _, zone := range zones {
		deployment.add("frontend-"+zone+"-1", zone, 0.4)
	}
	for number := range 8 {
		zone := zones[number%len(zones)]
		kind := "a"
		if number >= 5 {
			kind = "b"
		}
		if _, err := deployment.fleet.add(fmt.Sprintf("i-%02d", number), zone, 32000, kind, "r"+zone); err != nil {
			return failed, err
		}
	}
	if err := deployment.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for _, instance := range deployment.instances {
		clients.Go(func() {
			for ticker := time.NewTicker(110 * time.Millisecond); ; {
				select {
				case <-stopped:
					return
				case <-ticker.C:
				}
				clients.Go(func() {
					deployment.submit(instance, newID(), 300*time.Millisecond, 1500*time.Millisecond, phase{Count: 2, CPU: 8000, MemMB: 64, RequiredLabel: "a"})
				})
			}
		})
	}
	crashing := deployment.fleet.runners[0]
	for number := range kindChanges {
		time.Sleep(pauseBefore(number))
		if !trouble {
			time.Sleep(downTime)
			continue
		}
		crashing.crash()
		kind := "b"
		if number%2 == 1 {
			kind = "a"
		}
		crashing.setLabels(kind, "r"+crashing.zone)
		time.Sleep(downTime)
		if err := crashing.boot(); err != nil {
			return failed, err
		}
	}
	time.Sleep(pauseBefore(kindChanges))
	close(stopped)
	clients.Wait()
	outcome, starts, wrong := held, 0, 0
	deployment.fleet.mu.Lock()
	defer deployment.fleet.mu.Unlock()
	for _, start := range deployment.fleet.starts {
		starts++
		if !slices.Contains(start.labels, "a") {
			wrong++
			deployment.record.line("ROUTE: %s started at %d ms on runner %s, whose labels are %v", start.task, deployment.record.ms(start.began), start.runner, start.labels)
			outcome = broken
		}
	}
	deployment.record.say("%d of %d starts were on a runner without the required label", wrong, starts)
	return outcome, nil
}
