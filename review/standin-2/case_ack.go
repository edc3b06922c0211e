package main

import (
	"syscall"
	"time"
)

// cancelAck: the machine that runs a job stands still. A client cancels the job at the other machine, which is killed
// right after it has acknowledged that. Then the first machine wakes.
func cancelAck(world *world, trouble bool) error {
	world.configure(1, "desk")
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2"} {
		if _, err := world.addRunner(id, "desk", id[:1], 8000, "kind-a", "r-"+id[:1]); err != nil {
			return err
		}
	}
	var nodes []*node
	for number, name := range []string{"frontend-a-1", "frontend-b-1"} {
		added, err := world.addNode(name, name[9:10], []string{"127.0.0.27", "127.0.0.28"}[number], 0.4)
		if err != nil {
			return err
		}
		nodes = append(nodes, added)
	}
	if err := world.awaitReady(nodes...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	job := world.newJob("ms=20000 cpu=1000", phase{Count: 2, CPU: 1000, EstRuntimeMS: 20000})
	go world.submit(job, 0, nodes[1], time.Minute)
	time.Sleep(2 * time.Second)
	if trouble {
		nodes[1].signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Second)
	if world.cancel(job, 0, nodes[0]) == 0 {
		return nil
	}
	if trouble {
		nodes[0].signal(syscall.SIGKILL)
		<-nodes[0].exited
		time.Sleep(300 * time.Millisecond)
		if err := nodes[0].start(); err != nil {
			return err
		}
		time.Sleep(1700 * time.Millisecond)
		nodes[1].signal(syscall.SIGCONT)
	}
	world.record.line("the disruption is over")
	// contactMs, then calm for longer than cancel_ms and stopMs.
	time.Sleep(3*time.Second + cancelTime + 50*time.Millisecond + 500*time.Millisecond)
	if runs := world.runningOf(job.id); len(runs) > 0 {
		world.broken("UNASKED", "%.1f s after the cancelling of job %s was acknowledged, it runs on: %v", time.Since(job.cancelled).Seconds(), job.id, runs)
	}
	return nil
}
