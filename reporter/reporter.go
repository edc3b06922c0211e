package reporter

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

const (
	countShards = 16
	// maxPendingRows limits the rows of counts that are not yet in the log; with 1,200 series, this is about two hours.
	maxPendingRows = 150_000
)

// Config holds the parameters of a Reporter.
type Config struct {
	// Domain and Instance identify the instance; Incarnation is unique among all process runs of all instances.
	Domain, Instance, Incarnation string
	// Objectives holds the objective of each kind that has one.
	Objectives map[string]Objective
	// Retention is how long a key may be resubmitted; a granted or counted key is kept for one to two such periods.
	Retention time.Duration
	// MaxKeys limits the keys that are kept per retention period.
	MaxKeys int
	// MaxSeries limits the pairs of kind and team that are counted separately in one minute.
	MaxSeries int
}

// minute is a number of minutes since the Unix epoch.
type minute int64

func minuteOf(now time.Time) minute { return minute(now.Unix() / 60) }

func (minute minute) time() time.Time { return time.Unix(int64(minute)*60, 0).UTC() }

// countShard holds the counts of a subset of the series in the open minute, and the closed minutes not yet collected.
type countShard struct {
	mu     sync.Mutex
	open   minute
	counts map[Series]*Counts
	closed []closedMinute
}

// closedMinute holds the counts of one minute that has ended. A series that collects answers beyond the limit of series
// may have several rows, one of each shard.
type closedMinute struct {
	minute minute
	rows   []seriesCounts
}

// seriesCounts is a row of a closed minute.
type seriesCounts struct {
	series Series
	counts Counts
}

// Reporter counts the answers of one instance and returns them as batches of closed minutes. It is safe for concurrent
// use.
type Reporter struct {
	config     Config
	seed       maphash.Seed
	keys       *keys
	objectives atomic.Pointer[map[string]Objective]
	shards     [countShards]countShard

	mu      sync.Mutex
	pending []closedMinute // closed minutes that are not known to be in the log, ascending
	rows    int            // rows of all minutes in pending
	next    minute         // the first minute that is not in pending yet
}

// New returns a reporter whose incarnation starts at now.
func New(config Config, now time.Time) *Reporter {
	reporter := &Reporter{
		config: config, seed: maphash.MakeSeed(),
		keys: newKeys(config.Retention, config.MaxKeys),
		next: minuteOf(now),
	}
	reporter.SetObjectives(config.Objectives)
	for i := range reporter.shards {
		reporter.shards[i] = countShard{open: minuteOf(now), counts: make(map[Series]*Counts)}
	}
	return reporter
}

// SetObjectives replaces the objectives, which are keyed by kind. Answers counted before keep their class.
func (reporter *Reporter) SetObjectives(objectives map[string]Objective) {
	reporter.objectives.Store(&objectives)
}

// GrantCount reports whether the instance named holder may count the request with a key that this instance owns. It
// grants the count to the first instance for which it is called, unless this instance has already counted the request.
func (reporter *Reporter) GrantCount(key, holder string, now time.Time) bool {
	return reporter.keys.grant(key, holder, now)
}

// Record counts an answer that was written to its caller at now, and reports whether it was counted.
func (reporter *Reporter) Record(answer Answer, now time.Time) bool {
	if answer.key != "" {
		shouldCount, full := reporter.keys.count(answer.key, answer.grant, now)
		if full && answer.grant != Denied {
			// The key cannot be stored, so a later duplicate would not be detected.
			answer.grant = Undecided
		} else if !shouldCount {
			return false
		}
	}
	objective, hasObjective := (*reporter.objectives.Load())[answer.series.Kind]
	class := answer.classify(objective, hasObjective)
	shard := &reporter.shards[maphash.Comparable(reporter.seed, answer.series)%countShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.closeMinute(minuteOf(now))
	shard.series(answer.series, hasObjective, reporter.config.MaxSeries/countShards)[class]++
	return true
}

// series returns the counts of a series in the open minute. Once the shard has limit series, the answers of a new one
// are counted under team OtherName, and also under kind OtherName unless its kind has an objective.
func (shard *countShard) series(series Series, hasObjective bool, limit int) *Counts {
	counts := shard.counts[series]
	if counts != nil {
		return counts
	}
	if len(shard.counts) >= limit {
		series.Team = OtherName
		if !hasObjective {
			series.Kind = OtherName
		}
		if counts = shard.counts[series]; counts != nil {
			return counts
		}
	}
	counts = new(Counts)
	shard.counts[series] = counts
	return counts
}

// closeMinute closes the open minute if now is a later minute; the caller holds shard.mu.
func (shard *countShard) closeMinute(now minute) {
	if now <= shard.open {
		// After the clock was set back, answers count in the open minute: closed minutes may already be in the log.
		return
	}
	if len(shard.counts) > 0 {
		closed := closedMinute{minute: shard.open}
		for series, counts := range shard.counts {
			closed.rows = append(closed.rows, seriesCounts{series: series, counts: *counts})
		}
		shard.closed = append(shard.closed, closed)
		clear(shard.counts)
	}
	shard.open = now
}

// takeClosed removes and returns the minutes through last, after closing the open one if it is among them.
func (shard *countShard) takeClosed(last minute) []closedMinute {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.closeMinute(last + 1)
	n := 0
	for n < len(shard.closed) && shard.closed[n].minute <= last {
		n++
	}
	taken := shard.closed[:n:n]
	shard.closed = shard.closed[n:]
	return taken
}

// collect moves the minutes through last from the shards to pending; the caller holds reporter.mu.
func (reporter *Reporter) collect(last minute) {
	if last < reporter.next {
		return
	}
	first := reporter.next
	collected := make([]closedMinute, last-first+1)
	for i := range collected {
		collected[i].minute = first + minute(i)
	}
	for i := range reporter.shards {
		for _, closed := range reporter.shards[i].takeClosed(last) {
			merged := &collected[closed.minute-first]
			merged.rows = append(merged.rows, closed.rows...)
			reporter.rows += len(closed.rows)
		}
	}
	reporter.pending = append(reporter.pending, collected...)
	reporter.next = last + 1
	for len(reporter.pending) > 1 && (reporter.rows > maxPendingRows || len(reporter.pending) > windowMinutes) {
		// Drop the oldest minute. Reports show it as missing.
		reporter.rows -= len(reporter.pending[0].rows)
		reporter.pending = reporter.pending[1:]
	}
}

// Batch returns the oldest closed minutes that were not acknowledged, at least one and as many as fit into a record,
// and false if there are none. It must be called every minute, also while the log is down, because it limits the memory
// of the pending minutes. If final is set, the current minute is closed too, and no answer may be recorded afterwards.
func (reporter *Reporter) Batch(now time.Time, final bool) (Batch, bool) {
	reporter.mu.Lock()
	defer reporter.mu.Unlock()
	last := minuteOf(now) - 1
	if final {
		last++
	}
	reporter.collect(last)
	if len(reporter.pending) == 0 {
		return Batch{}, false
	}
	taken, rows := 0, 0
	for taken < len(reporter.pending) && (taken == 0 || rows+len(reporter.pending[taken].rows) <= maxBatchRows) {
		rows += len(reporter.pending[taken].rows)
		taken++
	}
	batch := Batch{
		domain: reporter.config.Domain, instance: reporter.config.Instance, incarnation: reporter.config.Incarnation,
		final: final && taken == len(reporter.pending), minutes: append([]closedMinute(nil), reporter.pending[:taken]...),
		objectives: *reporter.objectives.Load(),
	}
	return batch, true
}

// Acknowledge removes the minutes of a batch from the pending ones, after the batch was appended to the log.
func (reporter *Reporter) Acknowledge(batch Batch) {
	reporter.mu.Lock()
	defer reporter.mu.Unlock()
	_, through := batch.span()
	for len(reporter.pending) > 0 && reporter.pending[0].minute <= through {
		reporter.rows -= len(reporter.pending[0].rows)
		reporter.pending = reporter.pending[1:]
	}
}
