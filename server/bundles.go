package server

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// logWait is how long one read waits at the log for the next record.
	logWait = 5 * time.Second
	// logTimeout ends a read on a connection that went silent, early enough for another read within the 10 s in which
	// a bundle must be in force.
	logTimeout = logWait + 2*time.Second
	// logRetryDelay spaces reads while the log is down.
	logRetryDelay = 500 * time.Millisecond
)

// followBundles reads the streams of the common part and of the instance's failure domain until ctx is done.
func (server *Server) followBundles(ctx context.Context) {
	var group sync.WaitGroup
	for _, bundles := range server.composer.Bundlers() {
		group.Go(func() { server.followStream(ctx, bundles) })
	}
	group.Wait()
}

func newComposer(settings configurer.Settings) *bundler.Composer {
	keys, err := bundler.ParseKeys(settings.Text("bundle-keys"))
	if err != nil {
		panic(eris.Wrap(err, "the setting bundle-keys was checked when it was read"))
	}
	return bundler.NewComposer(keys, settings.Text("failure-domain"))
}

// followStream reads one stream and renews its bundle when that is due.
func (server *Server) followStream(ctx context.Context, bundles *bundler.Bundler) {
	var nextAsk time.Time
	for ctx.Err() == nil {
		page, err := readLog(ctx, server.log, bundles.Stream(), bundles.Next(), logWait)
		if err != nil {
			server.logger.Warn("reading bundles failed", "stream", bundles.Stream(), "error", eris.ToString(err, false))
			if now := time.Now(); !now.Before(nextAsk) {
				nextAsk = now.Add(offerInterval)
				server.askPeers(ctx, bundles)
			}
			sleeper.For(ctx, logRetryDelay)
			continue
		}
		server.fold(bundles, page)
		server.renew(ctx, bundles)
	}
}

// readLog reads a page and gives up on a connection that went silent.
func readLog(ctx context.Context, log *appender.Appender, stream string, from int64, wait time.Duration) (appender.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return log.Read(ctx, stream, from, wait)
}

func (server *Server) fold(bundles *bundler.Bundler, page appender.Page) {
	entries := make([]bundler.Entry, len(page.Records))
	for i, record := range page.Records {
		entries[i] = bundler.Entry{Offset: record.Offset, Data: record.Data}
	}
	server.show(bundles, bundles.Fold(bundler.Page{Earliest: page.Earliest, Next: page.Next, Entries: entries}, time.Now()))
}

// show logs what became of bundle records and puts a new bundle in force.
func (server *Server) show(bundles *bundler.Bundler, events []bundler.Event) {
	for _, event := range events {
		server.logger.Info("bundle record read", "stream", bundles.Stream(), "offset", event.Offset,
			"bundle-version", event.Record.Version, "verdict", string(event.Verdict), "reason", event.Reason)
	}
	server.composer.Compose(func(bundle *bundler.Bundle) {
		server.install(bundle)
		server.logger.Info("bundle in force", "bundle-version", bundle.Version(), "part-version", bundle.PartVersion())
	})
}

func (server *Server) renew(ctx context.Context, bundles *bundler.Bundler) {
	if !bundles.RenewalDue(time.Now(), server.settings.Text("failure-domain"), server.settings.Text("instance")) {
		return
	}
	data, err := bundles.Renewal()
	if err == nil {
		appendCtx, cancel := context.WithTimeout(ctx, logTimeout)
		defer cancel()
		_, err = server.log.Append(appendCtx, bundles.Stream(), data)
	}
	if err != nil {
		server.logger.Warn("renewing the bundle failed", "error", eris.ToString(err, false))
		sleeper.For(ctx, logRetryDelay)
	}
}
