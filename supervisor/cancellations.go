package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/platform"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// cancellationRetention is how long a cancellation stays in the store. Callers do not wait for longer.
	cancellationRetention = time.Minute
	// cancellationWriteTimeout bounds one attempt to write a cancellation, and minCancellationRetryDelay and
	// maxCancellationRetryDelay the delay between attempts, which doubles.
	cancellationWriteTimeout  = 700 * time.Millisecond
	minCancellationRetryDelay = 200 * time.Millisecond
	maxCancellationRetryDelay = 5 * time.Second
	// cancellationCheckInterval is how often to check whether cancellations may have been missed, and cancellationReadInterval the
	// minimum time between two reads. A cancelled job must have ended within seconds after instances reach each other again.
	cancellationCheckInterval = 250 * time.Millisecond
	cancellationReadInterval  = 2 * time.Second
	// maxArchivedCancellations bounds the cancellations that are being written or kept at the same time.
	maxArchivedCancellations = 1024
)

// cancellationStore is the store as a cancellation archive uses it.
type cancellationStore interface {
	recordStore
	// Newest returns the newest record of each key, and the offset from which to continue reading.
	Newest(ctx context.Context, topic string) ([]follower.Record, int64, error)
}

// canceller is an executor as a cancellation archive uses it.
type canceller interface {
	// ApplyCancellations cancels jobs that other instances have recorded as cancelled.
	ApplyCancellations(jobs []string)
	// MayHaveMissedCancellations reports whether cancellations may have been missed since the last call.
	MayHaveMissedCancellations() bool
}

// cancellationArchive keeps in the store the cancellations that an instance which cannot be reached has missed, in case the instances
// that know of them are lost before it is back.
type cancellationArchive struct {
	ctx       context.Context
	self      string
	store     cancellationStore
	canceller canceller
	now       func() time.Time
	logger    hclog.Logger

	mu sync.Mutex
	// kept holds the jobs whose cancellations this instance writes or keeps in the store, each with a channel that is closed once
	// the record is there.
	kept map[string]chan struct{}
}

// newCancellationArchive returns an archive that is in use until ctx is done.
func newCancellationArchive(ctx context.Context, self string, store cancellationStore, canceller canceller, now func() time.Time, logger hclog.Logger) *cancellationArchive {
	return &cancellationArchive{ctx: ctx, self: self, store: store, canceller: canceller, now: now, logger: logger, kept: make(map[string]chan struct{})}
}

// Archive begins to write a cancellation, and returns a channel that is closed once the store has it.
func (archive *cancellationArchive) Archive(job string) <-chan struct{} {
	recorded, added := archive.keep(job)
	if added {
		go func() {
			if archive.write(job, []byte(archive.self), archive.now().Add(cancellationRetention)) {
				close(recorded)
			}
			archive.expire(job)
		}()
	}
	return recorded
}

// keep adds a job to the kept ones and reports whether it was not among them. The channel is nil if there is no room for it.
func (archive *cancellationArchive) keep(job string) (recorded chan struct{}, added bool) {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	if recorded, ok := archive.kept[job]; ok {
		return recorded, false
	}
	if len(archive.kept) >= maxArchivedCancellations {
		archive.logger.Warn("cancellation not recorded, too many are kept", "job", job)
		return nil, false
	}
	recorded = make(chan struct{})
	archive.kept[job] = recorded
	return recorded, true
}

// expire deletes the record of a job after the retention.
func (archive *cancellationArchive) expire(job string) {
	if sleeper.For(archive.ctx, cancellationRetention) {
		archive.write(job, nil, archive.now().Add(cancellationRetention))
	}
	archive.mu.Lock()
	defer archive.mu.Unlock()
	delete(archive.kept, job)
}

// write writes the record of a job, or deletes it if value is empty, and retries until a deadline. It reports whether the store has
// accepted it.
func (archive *cancellationArchive) write(job string, value []byte, deadline time.Time) bool {
	delay := minCancellationRetryDelay
	for failures := 0; archive.ctx.Err() == nil && archive.now().Before(deadline); failures++ {
		ctx, cancel := context.WithTimeout(archive.ctx, cancellationWriteTimeout)
		err := archive.store.Put(ctx, platform.CancellationTopic, job, value)
		cancel()
		if err == nil {
			archive.logger.Info("cancellation written to the store", "job", job, "deleted", len(value) == 0, "failures", failures)
			return true
		}
		if failures == 0 {
			archive.logger.Warn("cannot write cancellation to the store, retrying", "job", job, "error", eris.ToString(err, false))
		}
		sleeper.For(archive.ctx, sleeper.Jitter(delay))
		delay = min(2*delay, maxCancellationRetryDelay)
	}
	return false
}

// follow reads the cancellations at the start, and while some may have been missed, until the archive's context is done.
func (archive *cancellationArchive) follow() {
	due, readAt := true, time.Time{}
	for archive.ctx.Err() == nil {
		missed := archive.canceller.MayHaveMissedCancellations()
		due = due || missed
		if now := archive.now(); due && (readAt.IsZero() || now.Sub(readAt) >= cancellationReadInterval) {
			readAt = now
			// What is written while instances cannot be reached may follow the last record that was read.
			due = !archive.read() || missed
		}
		sleeper.For(archive.ctx, cancellationCheckInterval)
	}
}

// read reads the cancellations and passes them on, and reports whether that succeeded. Those that a former incarnation of this
// instance has written are kept for another retention.
func (archive *cancellationArchive) read() bool {
	ctx, cancel := context.WithTimeout(archive.ctx, cancellationWriteTimeout)
	defer cancel()
	records, _, err := archive.store.Newest(ctx, platform.CancellationTopic)
	if err != nil {
		archive.logger.Warn("cannot read cancellations", "error", eris.ToString(err, false))
		return false
	}
	var jobs []string
	for _, record := range records {
		job, writer, ok := platform.DecodeCancellation(record)
		if !ok {
			continue
		}
		jobs = append(jobs, job)
		if writer == archive.self {
			if recorded, added := archive.keep(job); added {
				close(recorded)
				go archive.expire(job)
			}
		}
	}
	if len(jobs) > 0 {
		archive.canceller.ApplyCancellations(jobs)
	}
	return true
}
