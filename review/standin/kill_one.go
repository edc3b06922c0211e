package main

import "time"

func init() { plays["kill-one"] = playKillOne }

// playKillOne kills one instance after the other, each once the former one is long back, and the clients of the killed one
// send their jobs to others.
func playKillOne(world *world) error {
	if err := world.start(threeZones, 64000); err != nil {
		return err
	}
	for round := range 8 {
		killed := world.machines[round%len(world.machines)]
		wait := world.submitAll(3, killed, world.longJob)
		time.Sleep(200 * time.Millisecond)
		if world.trouble {
			world.kill(killed)
			time.Sleep(restartDelay)
			if err := world.startInstance(killed); err != nil {
				return err
			}
		}
		wait()
		time.Sleep(4 * time.Second)
	}
	world.checkTwice()
	return nil
}
