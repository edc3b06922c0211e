// Command standin-2 plays a case of the second review: it holds stand-ins for the platform's store, its runners and its
// clients, starts instances of the system and judges what it sees.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases holds the cases by name. A case returns an error if it couldn't run.
var cases = map[string]func(world *world, trouble bool) error{
	"cancel-split": cancelSplit,
	"freeze-pass":  freezePass,
	"cancel-ack":   cancelAck,
	"late-order":   lateOrder,
	"odd-address":  oddAddress,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	world, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	begun := time.Now()
	err = cases[os.Args[1]](world, os.Getenv("TROUBLE") != "0")
	world.mu.Lock()
	breaks := world.breaks
	world.mu.Unlock()
	world.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	case len(breaks) > 0:
		for _, text := range breaks[:min(len(breaks), 5)] {
			fmt.Println("BROKEN", text)
		}
		fmt.Printf("%d breaks, %.1f s\n", len(breaks), time.Since(begun).Seconds())
		os.Exit(1)
	}
	fmt.Printf("the rule held, %.1f s\n", time.Since(begun).Seconds())
}
