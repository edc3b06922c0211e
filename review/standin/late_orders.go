package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["late-orders"] = playLateOrders }

// playLateOrders has one start in ten get no answer and be carried out late, and then a third of the runners crash and a third of the
// instances killed, so that orders reach the next life of their runner and nobody remembers them.
func playLateOrders(world *world) error {
	if err := world.start(fourDomains, 8000); err != nil {
		return err
	}
	world.beginTrouble()
	var muting atomic.Bool
	for _, runner := range world.runners {
		runner.lateBy = 2300 * time.Millisecond
		runner.mute = func(operation string, _ runKey) bool {
			return muting.Load() && operation == "run-start" && rand.IntN(10) == 0
		}
	}
	stop := make(chan struct{})
	traffic := world.jobTraffic(stop, 300*time.Millisecond, func() *client {
		return world.newClient(2, work{MS: 900, CPU: 1000}, 900*time.Millisecond, 4*time.Second)
	})
	time.Sleep(2 * time.Second)
	for range 5 {
		muting.Store(world.trouble)
		time.Sleep(1500 * time.Millisecond)
		muting.Store(false)
		if world.trouble {
			if err := world.restartThird(); err != nil {
				return err
			}
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	traffic.Wait()
	return world.checkVouched()
}

// restartThird ends a third of the runners and kills a third of the instances at once, and starts them again.
func (world *world) restartThird() error {
	var group sync.WaitGroup
	failures := make(chan error, len(world.runners)+len(world.machines))
	for _, index := range rand.Perm(len(world.runners))[:len(world.runners)/3] {
		group.Go(func() {
			world.runners[index].crash()
			time.Sleep(300 * time.Millisecond)
			if err := world.runners[index].restart(); err != nil {
				failures <- err
			}
		})
	}
	for _, machine := range world.draw(len(world.machines) / 3) {
		group.Go(func() {
			if err := world.restartKilled(machine); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}
