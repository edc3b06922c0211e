package main

import (
	"sync"
	"time"
)

// lateOrder: an order to start a task gets no answer, and its runner crashes. When the runner has been back under its id
// for 100 ms, the order is carried out.
func lateOrder(world *world, trouble bool) error {
	world.configure(1, "desk")
	var runners []*runner
	for _, id := range []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"} {
		added, err := world.addRunner(id, "desk", id[:1], 16000, "kind-a", "r-"+id[:1])
		if err != nil {
			return err
		}
		runners = append(runners, added)
	}
	var nodes []*node
	for number, name := range []string{"frontend-a-1", "frontend-b-1", "frontend-c-1"} {
		added, err := world.addNode(name, name[9:10], []string{"127.0.0.31", "127.0.0.32", "127.0.0.33"}[number], 0.4)
		if err != nil {
			return err
		}
		nodes = append(nodes, added)
	}
	if err := world.awaitReady(nodes...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			job := world.newJob("ms=3600 cpu=1000", phase{Count: 2, CPU: 1000, EstRuntimeMS: 3600})
			clients.Go(func() { world.submit(job, 0, nodes[number%3], 15*time.Second) })
		}
	})
	time.Sleep(3 * time.Second)
	for round := range 4 {
		runner := runners[2*round]
		if trouble {
			runner.mu.Lock()
			runner.holdNext = true
			runner.mu.Unlock()
			late := <-runner.held
			time.Sleep(500 * time.Millisecond)
			runner.crash()
			time.Sleep(1450 * time.Millisecond)
			if err := runner.start([]string{"kind-a", "r-" + runner.zone}); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
			runner.carryOut(late)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	return nil
}
