package main

import (
	"strings"
	"sync"
	"time"
)

func init() { plays["lost-stop"] = playLostStop }

// playLostStop has a task that takes longer than its client waits; the order that stops it gets no answer and is carried out
// late.
func playLostStop(world *world) error {
	if err := world.start(threeZones, 64000); err != nil {
		return err
	}
	stop := make(chan struct{})
	others := world.othersTraffic(stop)
	var (
		mu     sync.Mutex
		orders int
		lost   int
		chosen string
		muted  runKey
	)
	for _, runner := range world.runners {
		elsewhere := runner.zone != world.machines[0].zone
		runner.mute = func(operation string, run runKey) bool {
			mu.Lock()
			defer mu.Unlock()
			orders++
			if !world.trouble || operation != "run-stop" || !elsewhere || chosen == "" || !strings.HasPrefix(run.task, chosen) {
				return false
			}
			if muted.task == "" {
				muted = run
			}
			if run == muted {
				lost++
			}
			return run == muted
		}
	}
	time.Sleep(2 * time.Second)
	for range 4 {
		client := world.newClient(6, work{MS: 3600, CPU: 41000}, 900*time.Millisecond, 1500*time.Millisecond)
		mu.Lock()
		chosen, muted, orders, lost = client.id, runKey{}, 0, 0
		mu.Unlock()
		client.attempts(world.machines[0], 2)
		mu.Lock()
		world.record.note("orders to runners in this round: %d, of which %d got no answer and are carried out late", orders, lost)
		chosen = ""
		mu.Unlock()
		time.Sleep(time.Second)
	}
	close(stop)
	others.Wait()
	time.Sleep(time.Second)
	world.checkTwice()
	return nil
}
