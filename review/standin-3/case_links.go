package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// jobInterval is the time between two jobs, and of cancelOf jobs in a row the first cancelCount are cancelled (0.35).
	jobInterval = 1850 * time.Microsecond
	cancelOf    = 20
	cancelCount = 7
	// cancelWindow is the length of a give_up with the share 0.35, and windows how many follow each other.
	cancelWindow = 12 * time.Second
	windows      = 4
	// restartPause is the pause between the end of a process and its next start.
	restartPause = 300 * time.Millisecond
	// cancelBound is how long after the acknowledgement of a cancelling nothing of the job starts any more (cancel_ms).
	cancelBound = 3 * time.Second
	// inTouchPause is longer than contactMs.
	inTouchPause = 4 * time.Second
)

// restartAfterManyCancels lets clients cancel seven jobs in twenty for 48 s, restarts one instance as planned, and then cancels jobs of
// that instance at the others.
func restartAfterManyCancels(deployment *deployment, trouble bool) (result, error) {
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
	deployment.cancelMany(trouble)
	restarted := deployment.instances[0]
	restarted.signal(syscall.SIGTERM)
	if !restarted.awaitEnd(6 * time.Second) {
		return failed, fmt.Errorf("instance %s does not stop", restarted.name)
	}
	time.Sleep(restartPause)
	if err := restarted.start(false); err != nil {
		return failed, err
	}
	if err := restarted.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(inTouchPause)
	var outcome atomic.Int64
	var jobs sync.WaitGroup
	for number := range 4 {
		jobs.Go(func() {
			if deployment.goesOnAfterCancel(restarted, deployment.instances[1+number%2]) {
				outcome.Store(int64(broken))
			}
		})
	}
	jobs.Wait()
	return result(outcome.Load()), nil
}

// cancelMany sends jobs to all instances for some windows. With trouble, seven in twenty are cancelled, each at another instance than
// the one that runs it.
func (deployment *deployment) cancelMany(trouble bool) {
	var clients sync.WaitGroup
	var cancelled, acknowledged atomic.Int64
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	end := time.Now().Add(windows * cancelWindow)
	for number := 0; time.Now().Before(end); number++ {
		<-ticker.C
		id := newID()
		clients.Go(func() {
			deployment.submit(deployment.instances[number%3], id, 60*time.Millisecond, 1500*time.Millisecond, phase{Count: 1, CPU: 1000, MemMB: 64})
		})
		if trouble && number%cancelOf < cancelCount {
			clients.Go(func() {
				time.Sleep(20 * time.Millisecond)
				cancelled.Add(1)
				if answer := deployment.cancel(deployment.instances[(number+1)%3], id); answer.status == 200 || answer.status == 410 {
					acknowledged.Add(1)
				}
			})
		}
	}
	clients.Wait()
	deployment.record.say("%d jobs were cancelled, %d of these were acknowledged", cancelled.Load(), acknowledged.Load())
}

// goesOnAfterCancel sends a job of ten steps to one instance, cancels it at another one, and reports whether its tasks go on to start
// for longer than cancelBound after that was acknowledged.
func (deployment *deployment) goesOnAfterCancel(first, second *instance) bool {
	id := newID()
	answered := make(chan answer, 1)
	go func() {
		// Ten steps of one task, one after the other.
		var phases []phase
		for number := range 10 {
			next := phase{Count: 1, CPU: 1000, MemMB: 64}
			if number > 0 {
				next.DependsOn = []int{number - 1}
			}
			phases = append(phases, next)
		}
		answered <- deployment.submit(first, id, 700*time.Millisecond, 12*time.Second, phases...)
	}()
	time.Sleep(time.Second)
	cancelled := deployment.cancel(second, id)
	<-answered
	if cancelled.status != 200 && cancelled.status != 410 {
		deployment.record.line("cancelling of %s not acknowledged", id)
		return false
	}
	goesOn := false
	for _, start := range deployment.fleet.startsOf(id) {
		if after := start.began.Sub(cancelled.at); after > cancelBound {
			deployment.record.say("UNASKED: %s started %d ms after the cancelling of its job was acknowledged with %d", start.task, after.Milliseconds(), cancelled.status)
			goesOn = true
		}
	}
	return goesOn
}
