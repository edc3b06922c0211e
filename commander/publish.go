package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// readWait is how long the log waits for a new record before it answers a read.
	readWait = time.Second
	// callTimeout limits a call to the log beyond any wait, so that a hung connection does not block the publication.
	callTimeout = 3 * time.Second
	// readRetryDelay is the pause after a failed read, for example while the log is down.
	readRetryDelay = 200 * time.Millisecond
	// readsBeforeReappend is the number of reads without an outcome after which an append that returned an error is
	// repeated. If both records reach the log after all, the second one is ignored, because the first one has already
	// replaced the bundle.
	readsBeforeReappend = 3
)

func (flags *bundleFlags) publish(ctx context.Context, files []string) error {
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	record, err := readRecord(files[0])
	if err != nil {
		return err
	}
	bundle, err := bundler.Parse([]byte(record.Text))
	if err != nil {
		return err
	}
	partBundler, _, err := flags.readLog(ctx, bundle.Part())
	if err != nil {
		return err
	}
	if snapshot := partBundler.Snapshot(); snapshot != nil && snapshot.Text() == record.Text {
		return flags.printInForce(record, snapshot.Offset())
	}
	if err := flags.checkLint(ctx, bundle); err != nil {
		return err
	}
	publication, err := partBundler.Publish(record)
	if err != nil {
		return err
	}
	outcome, err := appendAndWait(ctx, appender.New(flags.log), partBundler, publication)
	if err != nil {
		return err
	}
	switch outcome := outcome.(type) {
	case bundler.Published:
		return flags.printInForce(record, outcome.Offset())
	case bundler.Conflict:
		return eris.Errorf("not published: %s; base your change on that bundle and raise the version", outcome)
	}
	return nil
}

// checkLint returns the first lint finding that is an error, including conflicts between the common part and the parts
// of split failure domains.
func (flags *bundleFlags) checkLint(ctx context.Context, bundle *bundler.Bundle) error {
	findings, err := flags.findings(ctx, bundle)
	if err != nil {
		return err
	}
	for _, finding := range findings {
		if finding.Severity() == bundler.SeverityError {
			return eris.Errorf("lint found an error in the bundle: %s", finding)
		}
	}
	return nil
}

func (flags *bundleFlags) printInForce(record bundler.Record, offset int64) error {
	_, err := fmt.Fprintf(flags.stdout, "version %d is in force, at offset %d\n", record.Version, offset)
	return eris.Wrap(err, "writing the outcome")
}

// appendAndWait appends the publication and reads the log until that record or another one has replaced the bundle in
// force. An append that failed may still have reached the log; it is repeated only if reads do not show the record.
func appendAndWait(ctx context.Context, log *appender.Appender, partBundler *bundler.Bundler, publication *bundler.Publication) (bundler.Outcome, error) {
	for ctx.Err() == nil {
		appendErr := appendOnce(ctx, log, partBundler, publication)
		for reads := 0; ctx.Err() == nil && (appendErr == nil || reads < readsBeforeReappend); {
			events, _, err := readOnce(ctx, log, partBundler, readWait)
			if err != nil {
				sleeper.For(ctx, readRetryDelay)
				continue
			}
			if outcome, ok := publication.Observe(events); ok {
				return outcome, nil
			}
			reads++
		}
	}
	return nil, eris.New("the log did not show the outcome in time: the bundle may still come into force; run hyssoplift bundle status, then publish again")
}

func appendOnce(ctx context.Context, log *appender.Appender, partBundler *bundler.Bundler, publication *bundler.Publication) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := log.Append(ctx, partBundler.Stream(), publication.Data())
	return err
}

// readOnce reads one page of the log into partBundler. It returns the events of the page and whether the page reached
// the end of the log.
func readOnce(ctx context.Context, log *appender.Appender, partBundler *bundler.Bundler, wait time.Duration) ([]bundler.Event, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	page, err := log.Read(ctx, partBundler.Stream(), partBundler.NextOffset(), wait)
	if err != nil {
		return nil, false, err
	}
	entries := make([]bundler.Entry, len(page.Records))
	for i, record := range page.Records {
		entries[i] = bundler.Entry{Offset: record.Offset, Data: record.Data}
	}
	events := partBundler.ApplyPage(bundler.Page{Earliest: page.Earliest, Next: page.Next, Entries: entries}, time.Now())
	return events, partBundler.NextOffset() >= page.Next, nil
}

// readToEnd reads the log into partBundler up to its end. It returns all events; after an error, those before it.
func readToEnd(ctx context.Context, log *appender.Appender, partBundler *bundler.Bundler) ([]bundler.Event, error) {
	var all []bundler.Event
	for {
		events, end, err := readOnce(ctx, log, partBundler, 0)
		all = append(all, events...)
		if err != nil || end {
			return all, err
		}
	}
}
