package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// cancelBound is how long after the acknowledgement of a cancelling nothing of the job starts any more (cancel_ms).
	cancelBound = 3 * time.Second
	// lateWrite is how much later a write is done that gets no answer; platform_lost with how = late: 1 to 6 s.
	lateWrite = 5 * time.Second
	// restartPause is the pause between the end of a process and its next start.
	restartPause = 300 * time.Millisecond
	// quietTime is longer than contactMs, so that all machines are in touch after it.
	quietTime = 8 * time.Second
)

// cancelAfterLostDeletes stops and starts three instances in turn. Two of the six writes of that time, the deletions of the records
// of the first two instances, are done late and not answered. Long after that, jobs are sent to the first instance and cancelled at
// the second one.
func cancelAfterLostDeletes(deployment *deployment, trouble bool) (result, error) {
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
	lost := make(map[string]bool)
	deployment.store.setLate(func(_, key string, value []byte) time.Duration {
		if !trouble || len(value) > 0 || key == deployment.instances[2].name || lost[key] {
			return 0
		}
		lost[key] = true
		return lateWrite
	})
	for _, instance := range deployment.instances {
		instance.signal(syscall.SIGTERM)
		if !instance.awaitEnd(6 * time.Second) {
			return failed, fmt.Errorf("instance %s does not stop", instance.name)
		}
		time.Sleep(restartPause)
		if err := instance.start(false); err != nil {
			return failed, err
		}
		if err := instance.awaitReady(); err != nil {
			return failed, err
		}
	}
	time.Sleep(lateWrite + quietTime)
	deployment.record.line("records of instances in the store: %s", strings.Join(deployment.store.keys("keyed.instances"), " "))
	outcome := held
	for range 3 {
		if deployment.goesOnAfterCancel(deployment.instances[0], deployment.instances[1]) {
			outcome = broken
		}
	}
	return outcome, nil
}
