package reporter

import "time"

const (
	// windowMinutes is the longest window: three days.
	windowMinutes = 3 * 24 * 60
	// fineMinutes is the longest window that is summed by the minute.
	fineMinutes = 6 * 60
	// coarseMinutes is the width of the slots for longer windows.
	coarseMinutes = 10
	// maxAheadMinutes is how far an instance's clock may be ahead of the reader's.
	maxAheadMinutes = 5
	// Minutes after the end of a window must not evict its first ones, hence the extra slots.
	spareMinutes = reportLagMinutes + maxAheadMinutes + 1
	fineSlots    = fineMinutes + spareMinutes
	coarseSlots  = windowMinutes/coarseMinutes + 2 + spareMinutes/coarseMinutes + 1
	// maxSeries bounds the series of a report; answers beyond it are added to one series that holds all other.
	maxSeries = 20_000
	// maxIncarnations bounds the incarnations; three days at the target scale have about 5,100.
	maxIncarnations = 20_000
)

// slot holds the counts of one minute or of ten; a slot of another stamp is empty.
type slot struct {
	index  int64
	counts [numClasses]uint32
}

// history holds the counts of one series in two resolutions.
type history struct {
	fine   [fineSlots]slot
	coarse [coarseSlots]slot
}

func (history *history) add(at minute, counts Counts) {
	history.fine[at%fineSlots].add(int64(at), counts)
	history.coarse[at/coarseMinutes%coarseSlots].add(int64(at/coarseMinutes), counts)
}

// add counts into the slot unless the slot already serves a later time.
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

// sum returns the counts from minute from to before minute to; from must come from windowStart.
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
	// The coarse slots end where the last whole one ends; single minutes fill the rest.
	coarseEnd := to / coarseMinutes * coarseMinutes
	add(history.coarse[:], int64(from/coarseMinutes), int64(coarseEnd/coarseMinutes))
	add(history.fine[:], int64(coarseEnd), int64(to))
	return total
}

// activeSince reports whether any answer was counted since a minute.
func (history *history) activeSince(at minute) bool {
	for i := range history.coarse {
		if history.coarse[i].index >= int64(at/coarseMinutes) {
			return true
		}
	}
	return false
}

// Aggregator adds up the batches of all instances, in any order and however often each one is added. It is not safe for
// concurrent use. It holds at most 27 KB per series and 1 KB per incarnation, of each of which there are at most 20,000.
type Aggregator struct {
	histories    map[Series]*history
	objectives   map[string]Objective
	objectivesAt map[string]minute
	incarnations map[string]*coverage
	unreadable   int
	complete     bool
	coverageOnly bool // counts are left out, as a Summer needs only the coverage
}

// NewAggregator returns an empty ledger.
func NewAggregator() *Aggregator {
	return &Aggregator{
		histories: make(map[Series]*history), incarnations: make(map[string]*coverage),
		objectives: make(map[string]Objective), objectivesAt: make(map[string]minute),
	}
}

// SetComplete says whether the log was read from its first record on; if not, the time before the earliest record
// is missing.
func (aggregator *Aggregator) SetComplete(complete bool) { aggregator.complete = complete }

// AddUnreadable counts a record that could not be decoded; reports name the number.
func (aggregator *Aggregator) AddUnreadable() { aggregator.unreadable++ }

// SetObjective sets the objective of kind, unless a later batch brings another one.
func (aggregator *Aggregator) SetObjective(kind string, objective Objective) {
	aggregator.objectives[kind] = objective
}

// Add adds the minutes of batch, read at now, that are not yet counted for its incarnation. Minutes in the future are
// left out, because they would evict current ones; the incarnation is then shown as missing.
func (aggregator *Aggregator) Add(batch Batch, now time.Time) {
	for _, closed := range aggregator.markCovered(batch, now) {
		aggregator.addCounts(closed)
	}
}

// markCovered marks the minutes of batch as counted and returns those that were not.
func (aggregator *Aggregator) markCovered(batch Batch, now time.Time) []closedMinute {
	first, through := batch.span()
	covered := aggregator.incarnation(batch.domain, batch.instance, batch.incarnation, min(first, minuteOf(now)))
	if covered == nil || through > minuteOf(now)+maxAheadMinutes {
		aggregator.unreadable++
		return nil
	}
	var added []closedMinute
	for _, closed := range batch.minutes {
		if covered.add(closed.minute) {
			added = append(added, closed)
		}
	}
	covered.final = covered.final || batch.final
	for kind, objective := range batch.objectives {
		aggregator.setObjectiveAt(kind, objective, through)
	}
	return added
}

// addCounts adds the rows of one minute.
func (aggregator *Aggregator) addCounts(closed closedMinute) {
	if aggregator.coverageOnly {
		return
	}
	for _, row := range closed.rows {
		aggregator.history(row.series.withPlaceholders()).add(closed.minute, row.counts)
	}
}

// incarnation returns the coverage of an incarnation, new from minute first on, or nil if there are too many.
func (aggregator *Aggregator) incarnation(domain, instance, name string, first minute) *coverage {
	covered := aggregator.incarnations[name]
	if covered == nil && len(aggregator.incarnations) < maxIncarnations {
		covered = &coverage{domain: domain, instance: instance, first: first, last: -1}
		aggregator.incarnations[name] = covered
	}
	return covered
}

// setObjectiveAt sets the objective that was in force at a minute, unless a later one is known.
func (aggregator *Aggregator) setObjectiveAt(kind string, objective Objective, at minute) {
	if _, known := aggregator.objectives[kind]; !known && len(aggregator.objectives) >= maxSeries {
		return
	}
	if at >= aggregator.objectivesAt[kind] {
		aggregator.objectives[kind], aggregator.objectivesAt[kind] = objective, at
	}
}

// history returns the history of series, or of the series for all other when there are too many.
func (aggregator *Aggregator) history(series Series) *history {
	found := aggregator.histories[series]
	if found == nil && len(aggregator.histories) >= maxSeries {
		series = Series{Kind: OtherName, Team: OtherName}
		found = aggregator.histories[series]
	}
	if found == nil {
		found = new(history)
		aggregator.histories[series] = found
	}
	return found
}
