// Command hyssoplift-standin runs one emulated service of the platform for tests: the log, the instance list, a runner
// or a worker.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/placer"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "hyssoplift-standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return eris.New("usage: hyssoplift-standin log|list|runner|worker [flags]")
	}
	set := flag.NewFlagSet(args[0], flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:0", "address to serve on")
	slots := set.Int("slots", 8, "number of tasks that a runner runs concurrently")
	cores := set.Int64("cores", 32, "cores of a worker")
	memory := set.Int64("memory-mb", 131_072, "memory of a worker, in megabytes")
	lag := set.Duration("lag", 2*time.Second, "delay until the list shows a change")
	speed := set.Float64("speed", 1, "speed factor of a runner, 1 is nominal")
	if err := set.Parse(args[1:]); err != nil {
		return err
	}
	var handler http.Handler
	switch args[0] {
	case "log":
		handler = emulator.NewLog()
	case "list":
		handler = emulator.NewList(*lag)
	case "runner":
		handler = emulator.NewRunner(*slots, *speed)
	case "worker":
		handler = emulator.NewWorker(placer.Resources{MilliCores: *cores * 1000, MemoryMB: *memory})
	default:
		return eris.Errorf("unknown service %q", args[0])
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", *listen)
	}
	// Tests read the address, with the chosen port, from the first line.
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	return server.Serve(listener)
}
