package server

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/bundler"
)

const (
	bundleStream = "bundles"
	// logWait is how long one read waits at the log for the next record.
	logWait = 5 * time.Second
	// logRetryDelay spaces reads while the log is down.
	logRetryDelay = 500 * time.Millisecond
)

// followBundles reads the bundle stream until ctx is done.
func (server *Server) followBundles(ctx context.Context) {
	var next int64
	for ctx.Err() == nil {
		page, err := server.log.Read(ctx, bundleStream, next, logWait)
		if err != nil {
			server.logger.Warn("reading bundles failed", "error", eris.ToString(err, false))
			sleep(ctx, logRetryDelay)
			continue
		}
		for _, record := range page.Records {
			next = record.Offset + 1
			server.accept(record.Offset, record.Data)
		}
	}
}

func (server *Server) accept(offset int64, data []byte) {
	bundle, err := bundler.Parse(data)
	if err != nil {
		server.logger.Error("bundle record ignored", "offset", offset, "error", eris.ToString(err, false))
		return
	}
	server.bundle.Store(bundle)
	server.logger.Info("bundle in force", "bundle-version", bundle.Version(), "offset", offset)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
