package main

import "time"

// plays holds the cases by name; each is added by its own file.
var plays = make(map[string]func(*world) error)

// restartDelay is after how long a killed process is started again.
const restartDelay = 500 * time.Millisecond

var threeZones = []zone{{"ahd", 1, 4}, {"srt", 1, 4}, {"vdr", 1, 4}}

// longJob returns a client with a job whose tasks take 2.5 s; the longest ones of the site files take 3.6 s.
func (world *world) longJob() *client {
	return world.newClient(2, work{MS: 2500, CPU: 27000}, 2500*time.Millisecond, 10*time.Second)
}
