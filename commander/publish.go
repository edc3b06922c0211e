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
	// publishWait is how long one read waits for the next record.
	publishWait = time.Second
	// callTimeout ends a call on a connection that went silent.
	callTimeout = 3 * time.Second
	// publishRetryDelay spaces attempts while the log is down.
	publishRetryDelay = 200 * time.Millisecond
	// lateReads is the number of reads, each of publishWait, after which an append without an answer counts as not
	// taken. If it does arrive later, the second append is ignored, because the first one replaced the bundle.
	lateReads = 3
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
	bundles, _, err := flags.readLog(ctx, bundle.Part())
	if err != nil {
		return err
	}
	if snapshot := bundles.Snapshot(); snapshot != nil && snapshot.Text() == record.Text {
		return flags.printWon(record, snapshot.Offset())
	}
	if err := flags.refuseBroken(ctx, bundle); err != nil {
		return err
	}
	publication, err := bundles.Publish(record)
	if err != nil {
		return err
	}
	outcome, err := appendAndWait(ctx, appender.New(flags.log), bundles, publication)
	if err != nil {
		return err
	}
	switch outcome := outcome.(type) {
	case bundler.Published:
		return flags.printWon(record, outcome.Offset())
	case bundler.Conflict:
		return eris.Errorf("not published: %s; put your change on top of it and raise the version", outcome)
	}
	return nil
}

// refuseBroken returns an error if lint finds one, also between the common part and the others.
func (flags *bundleFlags) refuseBroken(ctx context.Context, bundle *bundler.Bundle) error {
	findings, err := flags.findings(ctx, bundle)
	if err != nil {
		return err
	}
	for _, finding := range findings {
		if finding.Severity() == bundler.SeverityError {
			return eris.Errorf("the bundle would break: %s", finding)
		}
	}
	return nil
}

func (flags *bundleFlags) printWon(record bundler.Record, offset int64) error {
	_, err := fmt.Fprintf(flags.stdout, "version %d is in force, at offset %d\n", record.Version, offset)
	return eris.Wrap(err, "writing the outcome")
}

// appendAndWait appends the publication and reads on until it or another record replaced the bundle in force.
func appendAndWait(ctx context.Context, log *appender.Appender, bundles *bundler.Bundler, publication *bundler.Publication) (bundler.Outcome, error) {
	for ctx.Err() == nil {
		appendErr := appendOnce(ctx, log, bundles, publication)
		for reads := 0; ctx.Err() == nil && (appendErr == nil || reads < lateReads); {
			events, _, err := readOnce(ctx, log, bundles, publishWait)
			if err != nil {
				sleeper.For(ctx, publishRetryDelay)
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

func appendOnce(ctx context.Context, log *appender.Appender, bundles *bundler.Bundler, publication *bundler.Publication) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := log.Append(ctx, bundles.Stream(), publication.Data())
	return err
}

// readOnce folds one page and reports whether it was the last one.
func readOnce(ctx context.Context, log *appender.Appender, bundles *bundler.Bundler, wait time.Duration) ([]bundler.Event, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	page, err := log.Read(ctx, bundles.Stream(), bundles.NextOffset(), wait)
	if err != nil {
		return nil, false, err
	}
	entries := make([]bundler.Entry, len(page.Records))
	for i, record := range page.Records {
		entries[i] = bundler.Entry{Offset: record.Offset, Data: record.Data}
	}
	events := bundles.ApplyPage(bundler.Page{Earliest: page.Earliest, Next: page.Next, Entries: entries}, time.Now())
	return events, bundles.NextOffset() >= page.Next, nil
}

func readToEnd(ctx context.Context, log *appender.Appender, bundles *bundler.Bundler) ([]bundler.Event, error) {
	var all []bundler.Event
	for {
		events, end, err := readOnce(ctx, log, bundles, 0)
		all = append(all, events...)
		if err != nil || end {
			return all, err
		}
	}
}
