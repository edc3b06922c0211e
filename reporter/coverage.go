package reporter

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	wordBits = 64
	// coverageWords is the number of words for the longest window, the rounding of its start, and the spare minutes.
	coverageWords = (windowMinutes+coarseMinutes+spareMinutes)/wordBits + 2
	coverageBits  = coverageWords * wordBits
)

// incarnationCoverage records which minutes of one incarnation were added, in a ring buffer of bits that ends at minute
// last.
type incarnationCoverage struct {
	domain, instance string
	first, last      minute
	final            bool // whether its final record was added
	bits             [coverageWords]uint64
}

// add marks a minute as covered and reports whether it was not covered before. Minutes older than the ring count as
// covered.
func (coverage *incarnationCoverage) add(at minute) bool {
	if at <= coverage.last-coverageBits {
		return false
	}
	if at > coverage.last {
		for clear := max(coverage.last+1, at-coverageBits+1); clear <= at; clear++ {
			coverage.bits[clear%coverageBits/wordBits] &^= 1 << (clear % wordBits)
		}
		coverage.last = at
	}
	coverage.first = min(coverage.first, at)
	word, bit := &coverage.bits[at%coverageBits/wordBits], uint64(1)<<(at%wordBits)
	added := *word&bit == 0
	*word |= bit
	return added
}

// has reports whether a minute is within the ring and covered.
func (coverage *incarnationCoverage) has(at minute) bool {
	return at <= coverage.last && at > coverage.last-coverageBits &&
		coverage.bits[at%coverageBits/wordBits]>>(at%wordBits)&1 == 1
}

// count returns the number of covered minutes in [from, to).
func (coverage *incarnationCoverage) count(from, to minute) int64 {
	from, to = max(from, coverage.first, coverage.last-coverageBits+1), min(to, coverage.last+1)
	count := int64(0)
	for at := from; at < to; {
		if word := coverage.bits[at%coverageBits/wordBits]; at%wordBits == 0 && at+wordBits <= to {
			count += int64(bits.OnesCount64(word))
			at += wordBits
		} else {
			count += int64(word >> (at % wordBits) & 1)
			at++
		}
	}
	return count
}

// lifetime is the time in which an incarnation ran, as far as the records show.
type lifetime struct {
	*incarnationCoverage
	incarnation string
	end         minute // the first minute in which it is known not to run
}

// lifetimes returns the lifetimes of all incarnations, sorted by instance and start. Without a final record, an
// incarnation is taken to run until the next one of the same instance starts, or else until now: an instance that is
// disconnected from the log cannot be distinguished from a crashed one.
func (aggregator *Aggregator) lifetimes(now minute) []lifetime {
	lifetimes := make([]lifetime, 0, len(aggregator.incarnations))
	for incarnation, coverage := range aggregator.incarnations {
		lifetimes = append(lifetimes, lifetime{incarnationCoverage: coverage, incarnation: incarnation, end: now})
	}
	slices.SortFunc(lifetimes, func(a, b lifetime) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.instance, b.instance),
			cmp.Compare(a.first, b.first), cmp.Compare(a.incarnation, b.incarnation))
	})
	for i := range lifetimes {
		lifetime := &lifetimes[i]
		if lifetime.final {
			lifetime.end = lifetime.last + 1
		} else if i+1 < len(lifetimes) && lifetimes[i+1].domain == lifetime.domain && lifetimes[i+1].instance == lifetime.instance {
			lifetime.end = max(lifetime.last+1, lifetimes[i+1].first)
		}
	}
	return lifetimes
}

// completeness holds the number of instance-minutes in a window for which a record is expected, and of those for which
// one exists.
type completeness struct{ expected, covered int64 }

func (completeness completeness) missing() int64 { return completeness.expected - completeness.covered }

// completeness returns the numbers of expected and covered instance-minutes in [from, to).
func (aggregator *Aggregator) completeness(lifetimes []lifetime, from, to minute) completeness {
	var completeness completeness
	earliest, instances := to, make(map[[2]string]bool)
	present := make([]bool, to-from)
	for _, lifetime := range lifetimes {
		earliest = min(earliest, lifetime.first)
		instances[[2]string{lifetime.domain, lifetime.instance}] = true
		start, end := max(lifetime.first, from), min(lifetime.end, to)
		if start >= end {
			continue
		}
		completeness.expected += int64(end - start)
		completeness.covered += lifetime.count(start, end)
		for at := start; at < end; at++ {
			present[at-from] = true
		}
	}
	for i, ok := range present {
		switch at := from + minute(i); {
		case ok:
		case at >= earliest || len(instances) == 0:
			completeness.expected++ // No instance is known to have run, but one may have.
		case !aggregator.complete:
			completeness.expected += int64(len(instances))
		}
	}
	return completeness
}

// Prune removes the incarnations that ended before the start of the longest window of a report at now, and the series
// without answers since that start.
func (aggregator *Aggregator) Prune(now time.Time) {
	oldest := minuteOf(now) - windowMinutes - coarseMinutes - spareMinutes
	for _, lifetime := range aggregator.lifetimes(minuteOf(now)) {
		if lifetime.end < oldest {
			delete(aggregator.incarnations, lifetime.incarnation)
		}
	}
	for series, history := range aggregator.histories {
		if !history.activeSince(oldest) {
			delete(aggregator.histories, series)
		}
	}
}
