package commander

import (
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/server"
)

func newLogger(writer io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "hyssoplift", JSONFormat: true, Output: writer, Level: hclog.Info})
}

// newServe returns the entry of the subcommand in the usage text. Run calls serve directly.
func newServe() *ffcli.Command {
	return &ffcli.Command{Name: "serve", ShortHelp: "run an entry instance (serve --help lists the settings)"}
}

// serve runs an entry instance until ctx is done, its peers exclude it or its listener fails.
func serve(ctx context.Context, args []string, stderr io.Writer) error {
	settings, err := configurer.Read(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.Text("listen"))
	if err != nil {
		return eris.Wrapf(err, "listening on %s", settings.Text("listen"))
	}
	logger := newLogger(stderr)
	server := server.New(settings, listener, logger)
	logger.Info("instance started", "listen", listener.Addr().String())
	var cause error
	select {
	case <-ctx.Done():
	case <-server.Excluded():
		cause = eris.New("excluded from the view by the other instances")
		logger.Error("excluded from the view by the other instances; stopping, the platform starts a new instance")
	case <-server.Failed():
		cause = eris.New("the listener failed")
	}
	now := time.Now()
	logger.Info("instance stopping")
	stopCtx, cancel := context.WithDeadline(context.Background(), settings.Deadline("stop-timeout", now))
	defer cancel()
	// A second signal ends the wait for the jobs in flight.
	stopCtx, release := signal.NotifyContext(stopCtx, os.Interrupt, syscall.SIGTERM)
	defer release()
	if err := server.Shutdown(stopCtx, settings.Deadline("balancer-wait", now)); err != nil {
		return err
	}
	logger.Info("instance stopped")
	return cause
}
