package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { plays["starved"] = playStarved }

// playStarved keeps the processor from many instances at the same time, in turn by pauses of a failure domain and some others and by
// slices that are too short to be noticed as pauses. Store, runners and clients go on.
func playStarved(world *world) error {
	if err := world.start(fourDomains, 8000); err != nil {
		return err
	}
	world.lateness.Store(0)
	world.record.note("record began at %s", world.record.start.UTC().Format("15:04:05.000"))
	stop := make(chan struct{})
	traffic := world.jobTraffic(stop, 350*time.Millisecond, func() *client {
		duration := 200 + rand.Int64N(1300)
		return world.newClient(2, work{MS: duration, CPU: 1000}, time.Duration(duration)*time.Millisecond, 4*time.Second)
	})
	time.Sleep(2 * time.Second)
	for round := range 8 {
		if world.trouble && round%2 == 0 {
			world.pauseDomain(fourDomains[rand.IntN(len(fourDomains))].name)
		} else if world.trouble {
			world.slice(world.draw(3*len(world.machines)/4), 80*time.Millisecond, 10*time.Millisecond)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	traffic.Wait()
	return world.checkVouched()
}

// pauseDomain pauses the instances of a failure domain and a third of all instances once each, in overlapping slices.
func (world *world) pauseDomain(domain string) {
	chosen := make(map[*machine]bool)
	for _, machine := range world.draw(len(world.machines) / 3) {
		chosen[machine] = true
	}
	var group sync.WaitGroup
	for _, machine := range world.machines {
		if !chosen[machine] && machine.zone != domain {
			continue
		}
		group.Go(func() {
			time.Sleep(rand.N(400 * time.Millisecond))
			pause := 600*time.Millisecond + rand.N(time.Second)
			world.record.note("machine %s: instance paused for %d ms", machine.name, pause.Milliseconds())
			machine.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			machine.signal(syscall.SIGCONT)
		})
	}
	group.Wait()
}

// slice lets instances run only for a short time between pauses, each for 1.5 to 2.5 s.
func (world *world) slice(machines []*machine, pause, between time.Duration) {
	var group sync.WaitGroup
	for _, machine := range machines {
		group.Go(func() {
			time.Sleep(rand.N(400 * time.Millisecond))
			length := 1500*time.Millisecond + rand.N(time.Second)
			world.record.note("machine %s: instance stopped for %d ms, run for %d ms, for %d ms", machine.name, pause.Milliseconds(), between.Milliseconds(), length.Milliseconds())
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(between) {
				machine.signal(syscall.SIGSTOP)
				time.Sleep(pause)
				machine.signal(syscall.SIGCONT)
			}
		})
	}
	group.Wait()
}
