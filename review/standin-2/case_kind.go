package main

import (
	"sync"
	"time"
)

// rebornKind: a runner crashes and starts again a second later under its id, as another kind. Clients go on sending jobs that
// require the label of the former kind.
func rebornKind(world *world, trouble bool) error {
	world.configure(1, "desk")
	var runners []*runner
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"} {
		added, err := world.addRunner(id, "desk", "a", 8000, "kind-a", "r1")
		if err != nil {
			return err
		}
		runners = append(runners, added)
	}
	var nodes []*node
	for _, name := range []string{"frontend-a-1", "frontend-a-2"} {
		added, err := world.addNode(name, "a", "127.0.0.2"+name[len(name)-1:], 0.4)
		if err != nil {
			return err
		}
		nodes = append(nodes, added)
	}
	if err := world.awaitReady(nodes...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			job := world.newJob("ms=300 cpu=1000", phase{Count: 2, CPU: 1000, EstRuntimeMS: 300, RequiredLabel: "kind-a"})
			group.Go(func() { world.submit(job, 0, nodes[number%2], 3*time.Second) })
		}
	})
	time.Sleep(3 * time.Second)
	for round := range 2 {
		if trouble {
			runners[round].crash()
			time.Sleep(time.Second)
			if err := runners[round].start([]string{"kind-b", "r1"}); err != nil {
				return err
			}
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	group.Wait()
	return nil
}
