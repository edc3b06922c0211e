package main

import "time"

func init() { plays["kill-all"] = playKillAll }

// playKillAll kills all instances at once; they are started again after restartDelay.
func playKillAll(world *world) error {
	if err := world.start(threeZones, 64000); err != nil {
		return err
	}
	stop := make(chan struct{})
	others := world.othersTraffic(stop)
	for range 5 {
		time.Sleep(time.Second)
		var waits []func()
		for _, machine := range world.machines {
			waits = append(waits, world.submitAll(2, machine, world.longJob))
		}
		time.Sleep(100 * time.Millisecond)
		if world.trouble {
			for _, machine := range world.machines {
				world.kill(machine)
			}
			time.Sleep(restartDelay)
			for _, machine := range world.machines {
				if err := world.startInstance(machine); err != nil {
					return err
				}
			}
		}
		for _, wait := range waits {
			wait()
		}
	}
	close(stop)
	others.Wait()
	time.Sleep(3 * time.Second)
	world.checkTwice()
	return nil
}
