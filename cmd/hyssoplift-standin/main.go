// Command hyssoplift-standin runs one stand-in of the platform on loopback, for tests.
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
	slots := set.Int("slots", 8, "tasks that a runner runs at once")
	cores := set.Int64("cores", 32, "cores of a worker")
	memory := set.Int64("memory-mb", 131_072, "memory of a worker, in megabytes")
	lag := set.Duration("lag", 2*time.Second, "time after which the list shows a change")
	speed := set.Float64("speed", 1, "speed factor of a runner")
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
		return eris.Errorf("unknown stand-in %q", args[0])
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", *listen)
	}
	// The first line tells a test which port was chosen.
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	return server.Serve(listener)
}
