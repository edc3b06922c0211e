package reporter

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	wordBits = 64
	// coverageWords keeps the longest window, its rounding and the spare minutes.
	coverageWords = (windowMinutes+coarseMinutes+spareMinutes)/wordBits + 2
	coverageSlots = coverageWords * wordBits
)

// coverage holds which minutes of one incarnation were added, in a ring of bits that ends at last.
type coverage struct {
	domain, instance string
	first, last      minute
	final            bool
	bits             [coverageWords]uint64
}

// add marks a minute as covered and reports whether it was not; a minute older than the ring counts as covered.
func (coverage *coverage) add(at minute) bool {
	if at <= coverage.last-coverageSlots {
		return false
	}
	if at > coverage.last {
		for clear := max(coverage.last+1, at-coverageSlots+1); clear <= at; clear++ {
			coverage.bits[clear%coverageSlots/wordBits] &^= 1 << (clear % wordBits)
		}
		coverage.last = at
	}
	coverage.first = min(coverage.first, at)
	word, bit := &coverage.bits[at%coverageSlots/wordBits], uint64(1)<<(at%wordBits)
	added := *word&bit == 0
	*word |= bit
	return added
}

// has reports whether a minute within the ring is covered.
func (coverage *coverage) has(at minute) bool {
	return at <= coverage.last && at > coverage.last-coverageSlots &&
		coverage.bits[at%coverageSlots/wordBits]>>(at%wordBits)&1 == 1
}

// count returns how many minutes from from to before to are covered.
func (coverage *coverage) count(from, to minute) int64 {
	from, to = max(from, coverage.first, coverage.last-coverageSlots+1), min(to, coverage.last+1)
	count := int64(0)
	for at := from; at < to; {
		if word := coverage.bits[at%coverageSlots/wordBits]; at%wordBits == 0 && at+wordBits <= to {
			count += int64(bits.OnesCount64(word))
			at += wordBits
		} else {
			count += int64(word >> (at % wordBits) & 1)
			at++
		}
	}
	return count
}

// presence is the time in which an incarnation ran as far as the ledger can tell.
type presence struct {
	*coverage
	incarnation string
	end         minute // the first minute in which it certainly no longer ran
}

// presences returns when each incarnation ran. Without a final record it ran until the next incarnation of the same
// instance began, and otherwise until now: an instance that is cut off from the log looks the same as a dead one.
func (aggregator *Aggregator) presences(now minute) []presence {
	presences := make([]presence, 0, len(aggregator.incarnations))
	for incarnation, coverage := range aggregator.incarnations {
		presences = append(presences, presence{coverage: coverage, incarnation: incarnation, end: now})
	}
	slices.SortFunc(presences, func(a, b presence) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.instance, b.instance),
			cmp.Compare(a.first, b.first), cmp.Compare(a.incarnation, b.incarnation))
	})
	for i := range presences {
		presence := &presences[i]
		if presence.final {
			presence.end = presence.last + 1
		} else if i+1 < len(presences) && presences[i+1].domain == presence.domain && presences[i+1].instance == presence.instance {
			presence.end = max(presence.last+1, presences[i+1].first)
		}
	}
	return presences
}

// extent is the number of instance-minutes of a window: expected ones, and those of which records were read.
type extent struct{ expected, covered int64 }

func (extent extent) missing() int64 { return extent.expected - extent.covered }

// extent returns the instance-minutes from minute from to before minute to.
func (aggregator *Aggregator) extent(presences []presence, from, to minute) extent {
	var extent extent
	earliest, names := to, make(map[[2]string]bool)
	present := make([]bool, to-from)
	for _, presence := range presences {
		earliest = min(earliest, presence.first)
		names[[2]string{presence.domain, presence.instance}] = true
		start, end := max(presence.first, from), min(presence.end, to)
		if start >= end {
			continue
		}
		extent.expected += int64(end - start)
		extent.covered += presence.count(start, end)
		for at := start; at < end; at++ {
			present[at-from] = true
		}
	}
	for i, ok := range present {
		switch at := from + minute(i); {
		case ok:
		case at >= earliest || len(names) == 0:
			extent.expected++ // Nobody is known to have run; that is no proof that nobody did.
		case !aggregator.complete:
			extent.expected += int64(len(names))
		}
	}
	return extent
}

// Prune drops the incarnations that ended before the longest window of a report at now, and idle series.
func (aggregator *Aggregator) Prune(now time.Time) {
	oldest := minuteOf(now) - windowMinutes - coarseMinutes - spareMinutes
	for _, presence := range aggregator.presences(minuteOf(now)) {
		if presence.end < oldest {
			delete(aggregator.incarnations, presence.incarnation)
		}
	}
	for series, history := range aggregator.histories {
		if !history.usedSince(oldest) {
			delete(aggregator.histories, series)
		}
	}
}
