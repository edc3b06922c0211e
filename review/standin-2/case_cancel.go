package main

import (
	"syscall"
	"time"
)

// cancelSplit: two machines of three are restarted one after the other, and the store loses the answers to their last
// writes and carries them out late. In calm, a client cancels a job at one machine that runs at the other one.
func cancelSplit(world *world, trouble bool) error {
	world.configure(1, "desk")
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		if _, err := world.addRunner(id, "desk", id[:1], 8000, "kind-a", "r-"+id[:1]); err != nil {
			return err
		}
	}
	var nodes []*node
	for number, name := range []string{"frontend-a-1", "frontend-b-1", "frontend-c-1"} {
		added, err := world.addNode(name, name[9:10], []string{"127.0.0.21", "127.0.0.22", "127.0.0.23"}[number], 0.4)
		if err != nil {
			return err
		}
		nodes = append(nodes, added)
	}
	if err := world.awaitReady(nodes...); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		world.store.mu.Lock()
		world.store.appendFate = func(topic, key string, value []byte) (bool, time.Duration) {
			return topic == "keyed.instances" && len(value) == 0, 5 * time.Second
		}
		world.store.mu.Unlock()
	}
	// The planned restart of two machines of three.
	for _, node := range nodes[:2] {
		node.signal(syscall.SIGTERM)
		select {
		case <-node.exited:
		case <-time.After(6 * time.Second):
			node.signal(syscall.SIGKILL)
			<-node.exited
		}
		time.Sleep(200 * time.Millisecond)
		if err := node.start(); err != nil {
			return err
		}
		if err := world.awaitReady(node); err != nil {
			return err
		}
	}
	world.store.mu.Lock()
	world.store.appendFate = nil
	world.store.mu.Unlock()
	world.record.line("the restarts are over; the store answers all calls")
	// The last late write is carried out meanwhile, and contactMs pass.
	time.Sleep(10 * time.Second)
	job := world.newJob("ms=12000 cpu=1000", phase{Count: 2, CPU: 1000, EstRuntimeMS: 12000})
	go world.submit(job, 0, nodes[1], 30*time.Second)
	time.Sleep(2 * time.Second)
	status := world.cancel(job, 0, nodes[0])
	if status == 0 {
		return nil
	}
	time.Sleep(cancelTime + 50*time.Millisecond + 500*time.Millisecond)
	if runs := world.runningOf(job.id); len(runs) > 0 {
		world.broken("UNASKED", "%.1f s after the cancelling of job %s was acknowledged with %d, it runs on: %v", time.Since(job.cancelled).Seconds(), job.id, status, runs)
	}
	return nil
}
