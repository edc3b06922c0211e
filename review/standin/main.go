// Command standin plays a small deployment of hyssoplift for the cases of the review: it holds stand-ins of the platform's
// store, of runners and of clients, and starts the instances as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a script that does not end by itself.
const maxDuration = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case, writes its record into folder and returns the exit code.
func run(name, folder string) int {
	play, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: unknown case %q\n", name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer record.close()
	world := newWorld(record, os.Getenv("TROUBLE") != "0")
	defer world.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- play(world) }()
	select {
	case err = <-ended:
	case caught := <-interrupted:
		err = fmt.Errorf("ended by %s", caught)
	case <-time.After(maxDuration):
		err = fmt.Errorf("the case took longer than %s", maxDuration)
	}
	if err != nil {
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	if breaks := record.breaks(); breaks > 0 {
		fmt.Printf("%s: rule broken %d times\n", name, breaks)
		return exitBroken
	}
	fmt.Printf("%s: rule held\n", name)
	return exitHeld
}
