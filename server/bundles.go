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
	// logPollWait is how long a read waits in the log for the next record.
	logPollWait = 5 * time.Second
	// logTimeout abandons a read on an unresponsive connection, early enough for another read within the 10 s in which
	// a bundle must be in force.
	logTimeout = logPollWait + 2*time.Second
	// logRetryDelay is the delay between reads while the log is unavailable.
	logRetryDelay = 500 * time.Millisecond
)

// followBundles follows the streams of the common part and of the part of this failure domain until ctx is done.
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
		panic(eris.Wrap(err, "parsing the validated setting bundle-keys"))
	}
	return bundler.NewComposer(keys, settings.Text("failure-domain"))
}

// followStream follows one stream and renews its bundle when due.
func (server *Server) followStream(ctx context.Context, bundles *bundler.Bundler) {
	var nextPeerRequest time.Time
	for ctx.Err() == nil {
		page, err := readLog(ctx, server.log, bundles.Stream(), bundles.NextOffset(), logPollWait)
		if err != nil {
			server.logger.Warn("reading bundles failed", "stream", bundles.Stream(), "error", eris.ToString(err, false))
			if now := time.Now(); !now.Before(nextPeerRequest) {
				nextPeerRequest = now.Add(peerRequestInterval)
				server.requestFromPeers(ctx, bundles)
			}
			sleeper.For(ctx, logRetryDelay)
			continue
		}
		server.applyPage(bundles, page)
		server.renewBundle(ctx, bundles)
	}
}

// readLog reads a page of the stream, and abandons the read if the connection does not respond.
func readLog(ctx context.Context, log *appender.Appender, stream string, from int64, wait time.Duration) (appender.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return log.Read(ctx, stream, from, wait)
}

// applyPage applies the records of the page.
func (server *Server) applyPage(bundles *bundler.Bundler, page appender.Page) {
	entries := make([]bundler.Entry, len(page.Records))
	for i, record := range page.Records {
		entries[i] = bundler.Entry{Offset: record.Offset, Data: record.Data}
	}
	server.applyEvents(bundles, bundles.ApplyPage(bundler.Page{Earliest: page.Earliest, Next: page.Next, Entries: entries}, time.Now()))
}

// applyEvents logs the decisions on bundle records and puts a new bundle in force.
func (server *Server) applyEvents(bundles *bundler.Bundler, events []bundler.Event) {
	for _, event := range events {
		server.logger.Info("bundle record read", "stream", bundles.Stream(), "offset", event.Offset,
			"bundle-version", event.Record.Version, "verdict", string(event.Decision), "reason", event.Reason)
	}
	server.composer.Compose(func(bundle *bundler.Bundle) {
		server.installBundle(bundle)
		server.logger.Info("bundle in force", "bundle-version", bundle.Version(), "part-version", bundle.PartVersion())
	})
}

// renewBundle appends a renewal of the stream's bundle if it is due and this instance's turn.
func (server *Server) renewBundle(ctx context.Context, bundles *bundler.Bundler) {
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
