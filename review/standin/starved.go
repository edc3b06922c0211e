package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { plays["starved"] = playStarved }

// playStarved keeps the processor from many instances at the same time: by pauses of a failure domain and some others, by stops too short
// to be noticed as pauses, and by both while some instances are killed. Store, runners and clients go on.
func playStarved(world *world) error {
	if err := world.start(fourDomains, 7000); err != nil {
		return err
	}
	world.beginTrouble()
	stop := make(chan struct{})
	traffic := world.jobTraffic(stop, 500*time.Millisecond, func() *client {
		duration := 200*time.Millisecond + rand.N(3400*time.Millisecond)
		client := world.newClient(2, work{MS: duration.Milliseconds(), CPU: 1000}, duration, 4*time.Second)
		if rand.IntN(2) == 0 {
			client.breakAfter = 100*time.Millisecond + rand.N(1400*time.Millisecond)
		}
		return client
	})
	time.Sleep(2 * time.Second)
	for round := range 7 {
		if world.trouble {
			if err := world.starve(starvations[round%len(starvations)]); err != nil {
				return err
			}
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	traffic.Wait()
	return world.checkVouched()
}

// starvation says how many instances are killed, how many are paused and for how long at least, and how many are sliced.
type starvation struct {
	domain                 bool
	killed, paused, sliced int
	shortest               time.Duration
}

var starvations = []starvation{
	{paused: 9, sliced: 7, shortest: time.Second},
	{killed: 3, paused: 6, sliced: 7, shortest: 600 * time.Millisecond},
	{domain: true, paused: 5, shortest: 600 * time.Millisecond},
	{sliced: 12},
}

// starve keeps the processor from instances drawn at random, and from one failure domain if the starvation says so.
func (world *world) starve(starvation starvation) error {
	var group sync.WaitGroup
	failures := make(chan error, starvation.killed)
	drawn := world.draw(len(world.machines))
	domain := drawn[0].zone
	for i, machine := range drawn {
		group.Go(func() {
			switch i -= starvation.killed; {
			case i < 0:
				time.Sleep(200*time.Millisecond + rand.N(300*time.Millisecond))
				if err := world.restartKilled(machine); err != nil {
					failures <- err
				}
			case i < starvation.paused, starvation.domain && machine.zone == domain:
				time.Sleep(400*time.Millisecond + rand.N(800*time.Millisecond))
				world.pause(machine, starvation.shortest+rand.N(time.Second))
			case i < starvation.paused+starvation.sliced:
				time.Sleep(rand.N(400 * time.Millisecond))
				world.slice(machine, 1500*time.Millisecond+rand.N(time.Second))
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}

// pause pauses the instance of a machine.
func (world *world) pause(machine *machine, length time.Duration) {
	world.record.note("machine %s: instance paused for %d ms", machine.name, length.Milliseconds())
	machine.signal(syscall.SIGSTOP)
	time.Sleep(length)
	machine.signal(syscall.SIGCONT)
}

// slice lets the instance of a machine run only for 10 ms after each 80 ms.
func (world *world) slice(machine *machine, length time.Duration) {
	world.record.note("machine %s: instance stopped for 80 ms in 90 for %d ms", machine.name, length.Milliseconds())
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		machine.signal(syscall.SIGSTOP)
		time.Sleep(80 * time.Millisecond)
		machine.signal(syscall.SIGCONT)
	}
}
