package commander

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/platform"
	"github.com/hyssoplift/hyssoplift/recorder"
	"github.com/hyssoplift/hyssoplift/supervisor"
)

const (
	// heapGrowthPercent is by how much the heap grows between two garbage collections. An instance has a few megabytes in use and a
	// goroutine for each target and peer, so that each collection costs far more than the memory that it frees.
	heapGrowthPercent = 300
	// softMemoryLimit is the memory in bytes from which garbage is collected more often: less than half of what the smallest
	// instances have.
	softMemoryLimit = 64 << 20
)

// newPlatform returns the subcommand that runs an instance on the users' platform.
func newPlatform(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("hyssoplift platform", flag.ContinueOnError)
	level := flags.String("log-level", "info", "minimum level of log lines: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "hyssoplift platform [flags]",
		ShortHelp:  "run an instance on the users' platform, which provides its settings",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return eris.Errorf("unexpected argument %q", args[0])
			}
			if hclog.LevelFromString(*level) == hclog.NoLevel {
				return eris.Errorf("unknown log level %q", *level)
			}
			path, err := platform.SettingsPath()
			if err != nil {
				return err
			}
			debug.SetGCPercent(heapGrowthPercent)
			debug.SetMemoryLimit(softMemoryLimit)
			logWriter := recorder.New(stdout)
			defer logWriter.Close()
			logger := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: logWriter, Level: hclog.LevelFromString(*level)})
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			return supervisor.Run(ctx, path, reload, logWriter, logger)
		},
	}
}
