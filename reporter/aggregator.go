package reporter

import "time"

const (
	// windowMinutes is the length of the longest window: three days.
	windowMinutes = 3 * 24 * 60
	// fineMinutes is the length of the longest window that is summed from slots of one minute.
	fineMinutes = 6 * 60
	// coarseMinutes is the length of the slots for longer windows.
	coarseMinutes = 10
	// maxAheadMinutes is how far the clock of an instance may be ahead of that of the reader.
	maxAheadMinutes = 5
	// spareMinutes is the number of minutes after the end of a window for which there are extra slots, so that they do
	// not evict the first minutes of the window.
	spareMinutes = reportLagMinutes + maxAheadMinutes + 1
	fineSlots    = fineMinutes + spareMinutes
	// coarseSlots adds two slots for the rounding of the start and the end of a window, and rounds spareMinutes up.
	coarseSlots = windowMinutes/coarseMinutes + 2 + spareMinutes/coarseMinutes + 1
	// maxReportSeries limits the series of a report; the answers of further ones are added up in one series. It also
	// limits the kinds that have an objective.
	maxReportSeries = 20_000
	// maxIncarnations limits the incarnations; three days at the target scale have about 5,100.
	maxIncarnations = 20_000
)

// slot holds the counts of one interval, whose length is one minute or coarseMinutes. Its index is the number of the
// interval since the Unix epoch.
type slot struct {
	index  int64
	counts [numClasses]uint32
}

// history holds the counts of one series in ring buffers of two resolutions.
type history struct {
	fine   [fineSlots]slot
	coarse [coarseSlots]slot
}

func (history *history) add(at minute, counts Counts) {
	history.fine[at%fineSlots].add(int64(at), counts)
	history.coarse[at/coarseMinutes%coarseSlots].add(int64(at/coarseMinutes), counts)
}

// add adds counts to the slot, unless the slot already holds a later interval.
func (slot *slot) add(index int64, counts Counts) {
	if index < slot.index {
		return
	}
	if index > slot.index {
		slot.index, slot.counts = index, [numClasses]uint32{}
	}
	for class, count := range counts {
		slot.counts[class] += uint32(count)
	}
}

// sum returns the counts in [from, to); from must be a result of windowStart.
func (history *history) sum(from, to minute) Counts {
	var total Counts
	add := func(slots []slot, low, high int64) {
		for i := range slots {
			if slots[i].index >= low && slots[i].index < high {
				for class, count := range slots[i].counts {
					total[class] += uint64(count)
				}
			}
		}
	}
	if to-from <= fineMinutes {
		add(history.fine[:], int64(from), int64(to))
		return total
	}
	// Coarse slots up to the last full one, then single minutes.
	coarseEnd := to / coarseMinutes * coarseMinutes
	add(history.coarse[:], int64(from/coarseMinutes), int64(coarseEnd/coarseMinutes))
	add(history.fine[:], int64(coarseEnd), int64(to))
	return total
}

// activeSince reports whether any answer was counted in or after the coarse interval of minute at.
func (history *history) activeSince(at minute) bool {
	for i := range history.coarse {
		if history.coarse[i].index >= int64(at/coarseMinutes) {
			return true
		}
	}
	return false
}

// Aggregator adds up the batches of all instances. Batches may be added in any order and more than once. It uses at
// most 27 KB per series and 1 KB per incarnation, with at most 20,000 of each. It is not safe for concurrent use.
type Aggregator struct {
	histories    map[Series]*history
	objectives   map[string]Objective // latest objective by kind
	objectivesAt map[string]minute    // minute at which the objective of a kind was in effect; none for SetObjective
	incarnations map[string]*incarnationCoverage
	unreadable   int  // records that could not be decoded or were ignored
	complete     bool // whether the log was read from its first record on
	coverageOnly bool // whether counts are not stored, because a SumBuilder needs only the coverage
}

// NewAggregator returns an aggregator without any counts.
func NewAggregator() *Aggregator {
	return &Aggregator{
		histories: make(map[Series]*history), incarnations: make(map[string]*incarnationCoverage),
		objectives: make(map[string]Objective), objectivesAt: make(map[string]minute),
	}
}

// SetComplete sets whether the log was read from its first record on. If it was not, the time before the earliest
// record counts as missing.
func (aggregator *Aggregator) SetComplete(complete bool) { aggregator.complete = complete }

// AddUnreadable counts a record that could not be decoded. Reports contain the number of these records, and of those
// that Add ignored.
func (aggregator *Aggregator) AddUnreadable() { aggregator.unreadable++ }

// SetObjective sets the objective of kind, which is used until a batch with an objective of that kind is added.
func (aggregator *Aggregator) SetObjective(kind string, objective Objective) {
	aggregator.objectives[kind] = objective
}

// Add adds the minutes of batch, read at now, that are not yet counted for its incarnation. If minutes are more than
// maxAheadMinutes in the future, it ignores the batch, because they would evict current ones; a report then shows the
// minutes of the incarnation as missing. It also ignores batches of new incarnations beyond maxIncarnations.
func (aggregator *Aggregator) Add(batch Batch, now time.Time) {
	for _, closed := range aggregator.markCovered(batch, now) {
		aggregator.addCounts(closed)
	}
}

// markCovered marks the minutes of batch as covered and returns those that were not covered before. It counts a batch
// that must be ignored as unreadable.
func (aggregator *Aggregator) markCovered(batch Batch, now time.Time) []closedMinute {
	first, through := batch.span()
	coverage := aggregator.coverageOf(batch.domain, batch.instance, batch.incarnation, min(first, minuteOf(now)))
	if coverage == nil || through > minuteOf(now)+maxAheadMinutes {
		aggregator.unreadable++
		return nil
	}
	var added []closedMinute
	for _, closed := range batch.minutes {
		if coverage.add(closed.minute) {
			added = append(added, closed)
		}
	}
	coverage.final = coverage.final || batch.final
	for kind, objective := range batch.objectives {
		aggregator.setObjectiveAt(kind, objective, through)
	}
	return added
}

// addCounts adds the rows of one minute to the histories.
func (aggregator *Aggregator) addCounts(closed closedMinute) {
	if aggregator.coverageOnly {
		return
	}
	for _, row := range closed.rows {
		aggregator.history(row.series.withPlaceholders()).add(closed.minute, row.counts)
	}
}

// coverageOf returns the coverage of an incarnation and creates it, starting at minute first, if necessary. It returns
// nil if there are too many incarnations.
func (aggregator *Aggregator) coverageOf(domain, instance, name string, first minute) *incarnationCoverage {
	coverage := aggregator.incarnations[name]
	if coverage == nil && len(aggregator.incarnations) < maxIncarnations {
		coverage = &incarnationCoverage{domain: domain, instance: instance, first: first, last: -1}
		aggregator.incarnations[name] = coverage
	}
	return coverage
}

// setObjectiveAt sets the objective that was in effect at a minute, unless a later one is known.
func (aggregator *Aggregator) setObjectiveAt(kind string, objective Objective, at minute) {
	if _, known := aggregator.objectives[kind]; !known && len(aggregator.objectives) >= maxReportSeries {
		return
	}
	if at >= aggregator.objectivesAt[kind] {
		aggregator.objectives[kind], aggregator.objectivesAt[kind] = objective, at
	}
}

// history returns the history of series and creates it if necessary. If there are too many series, it returns the
// history that all further ones share.
func (aggregator *Aggregator) history(series Series) *history {
	found := aggregator.histories[series]
	if found == nil && len(aggregator.histories) >= maxReportSeries {
		series = Series{Kind: OtherName, Team: OtherName}
		found = aggregator.histories[series]
	}
	if found == nil {
		found = new(history)
		aggregator.histories[series] = found
	}
	return found
}
