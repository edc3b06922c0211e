package main

import (
	"sync"
	"time"
)

func init() { plays["foreign-entry"] = playForeignEntry }

// playForeignEntry has an entry of a runner overwritten once by another writer, with a field of another type and a missing one,
// and with the address of another runner. The runner's next heartbeat sets it right.
func playForeignEntry(world *world) error {
	if err := world.start(threeZones, 64000); err != nil {
		return err
	}
	var mu sync.Mutex
	chosen := ""
	started := make(chan *runner, 2)
	for _, runner := range world.runners {
		runner.onStart = func(run runKey) {
			mu.Lock()
			defer mu.Unlock()
			if chosen != "" && run == (runKey{chosen + ".0.0.0", 1}) {
				started <- runner
			}
		}
	}
	for round := range 5 {
		machine := world.machines[round%len(world.machines)]
		client := world.longJob()
		mu.Lock()
		chosen = client.id
		mu.Unlock()
		ended := make(chan struct{})
		go func() {
			client.submit(machine)
			close(ended)
		}()
		runner := <-started
		if world.trouble {
			time.Sleep(300 * time.Millisecond)
			other := world.runners[0]
			if other == runner {
				other = world.runners[1]
			}
			world.store.put("keyed.servers", runner.id, map[string]any{
				"service": service, "addr": other.address, "zone": runner.zone, "version": "v0", "slots": 8, "state": "ready", "seq": 1, "coldLeftMs": "none",
				"capacity": map[string]any{"cpu": runner.capacity, "memMb": 262144, "gpu": 0}, "labels": runner.labels,
			})
			world.record.note("another writer: entry of %s with the address of %s, coldLeftMs as a string, and no born", runner.id, other.id)
		}
		<-ended
		time.Sleep(4 * time.Second)
	}
	world.checkTwice()
	return nil
}
