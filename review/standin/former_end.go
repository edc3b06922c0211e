package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

func init() { plays["former-end"] = playFormerEnd }

// playFormerEnd has the end of a run reach its owner late, after the runner has restarted and the job has been sent again. The only
// runner of a rack crashes while its reader is cut off from the other machines.
func playFormerEnd(world *world) error {
	world.mesh = true
	if err := world.start([]zone{{"ahd", 1, 4}, {"srt", 2, 4}, {"vdr", 1, 4}}, 64000); err != nil {
		return err
	}
	owner, only := world.machines[0], world.runners[4]
	reader, err := world.readerOf(only, "srt")
	if err != nil {
		return err
	}
	world.record.note("%s looks after %s", reader.name, only.id)
	only.mu.Lock()
	only.labels = []string{"a", "r1-2"}
	only.mu.Unlock()
	only.beat()
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	submit := func(work work, limit time.Duration) {
		client := world.newClientWithSteps(work, []step{{Count: 1, CPU: work.CPU, MemMB: 64, EstRuntimeMS: 900, RequiredLabel: "r1-2"}}, limit)
		group.Go(func() {
			for range 2 {
				// Both attempts reach the same machine.
				if status, _ := client.call(http.MethodPost, owner, client.body, client.limit); status != 0 && status != http.StatusGatewayTimeout {
					return
				}
				time.Sleep(retransmit)
			}
		})
	}
	// Jobs whose tasks take the time that they declare.
	for range 60 {
		submit(work{MS: 900, CPU: 1000}, 3*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	for range 6 {
		submit(work{MS: 3600, CPU: 9000}, 1500*time.Millisecond)
		time.Sleep(1400 * time.Millisecond)
		if world.trouble {
			world.record.note("machine %s: cut off from the other machines and the store", reader.name)
			reader.cut.Store(true)
			time.Sleep(350 * time.Millisecond)
			only.crash()
			time.Sleep(350 * time.Millisecond)
			if err := only.restart(); err != nil {
				return err
			}
			time.Sleep(800 * time.Millisecond)
			reader.cut.Store(false)
			world.record.note("machine %s: no longer cut off", reader.name)
		}
		group.Wait()
		time.Sleep(5 * time.Second)
	}
	world.checkTwice()
	return nil
}

// readerOf returns the machine of a zone whose instance polls a runner for all others: the one with the largest hash.
func (world *world) readerOf(runner *runner, zone string) (*machine, error) {
	var best *machine
	largest := 0.0
	for _, machine := range world.machines {
		if machine.zone != zone {
			continue
		}
		var entry struct{ Incarnation string }
		if err := json.Unmarshal(world.store.newest("keyed.instances", machine.name), &entry); err != nil {
			return nil, fmt.Errorf("entry of %s: %w", machine.name, err)
		}
		if hash := scheduler.RendezvousHash(entry.Incarnation, runner.id); hash > largest {
			best, largest = machine, hash
		}
	}
	return best, nil
}
