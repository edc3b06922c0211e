package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// freezePass: a small machine, which hands its jobs on to the larger one, gets its first jobs while that one stands
// still. Clients send jobs again whose answer is 504.
func freezePass(world *world, trouble bool) error {
	world.configure(1, "desk")
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		if _, err := world.addRunner(id, "desk", id[:1], 16000, "kind-a", "r-"+id[:1]); err != nil {
			return err
		}
	}
	var nodes []*node
	for number, name := range []string{"frontend-a-1", "frontend-b-1", "frontend-c-1"} {
		added, err := world.addNode(name, name[9:10], []string{"127.0.0.24", "127.0.0.25", "127.0.0.26"}[number], []float64{0.144, 0.8, 0.144}[number])
		if err != nil {
			return err
		}
		nodes = append(nodes, added)
	}
	if err := world.awaitReady(nodes...); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		nodes[1].signal(syscall.SIGSTOP)
	}
	var clients sync.WaitGroup
	for range 6 {
		clients.Go(func() {
			job := world.newJob("ms=900 cpu=1000", phase{Count: 4, CPU: 1000, EstRuntimeMS: 900})
			for attempt := range 2 {
				if attempt > 0 {
					time.Sleep(resend)
				}
				if status, _ := world.submit(job, 0, nodes[0], 1500*time.Millisecond); status != 0 && status != http.StatusGatewayTimeout {
					return
				}
			}
		})
	}
	time.Sleep(2400 * time.Millisecond)
	if trouble {
		nodes[1].signal(syscall.SIGCONT)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return nil
}
