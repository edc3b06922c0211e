package reporter

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

// sumAppendSpread is the time after the start of an hour over which the append times of the instances are spread.
const sumAppendSpread = 30 * time.Minute

// SumAppendTime returns the time in the hour of now at which an instance must append sums, unless another instance has
// already appended them in that hour. The time comes from a rendezvous hash of the hour and the instance. As with
// bundle renewals, this needs no list of instances, and if an instance crashed or is unresponsive, the one with the
// next append time takes over.
func SumAppendTime(now time.Time, failureDomain, instance string) time.Time {
	hour := now.Truncate(time.Hour)
	hash := sha256.Sum256([]byte(strconv.FormatInt(hour.Unix(), 10) + "\x00" + failureDomain + "\x00" + instance))
	fraction := float64(binary.BigEndian.Uint64(hash[:8])) / math.MaxUint64
	return hour.Add(time.Duration(fraction * float64(sumAppendSpread)))
}

// SumBuilder adds up consecutive records of stream burn. Its Aggregator holds the coverage of all earlier records, so
// that a minute that was appended twice is in only one sum. It is not safe for concurrent use.
type SumBuilder struct {
	*Aggregator
	sum            HourlySum
	records        int // records added since Begin
	rows           int // rows in minutes
	coveredMinutes int // total of the minutes of the sources
	sources        map[string]*sumSource
	minutes        map[minute]map[Series]*Counts
}

// NewSumBuilder returns a builder without any coverage.
func NewSumBuilder() *SumBuilder {
	builder := &SumBuilder{Aggregator: NewAggregator()}
	builder.coverageOnly = true
	builder.Begin(0)
	return builder
}

// Begin discards the current sum and starts a new one at the record with offset from. It keeps the coverage.
func (builder *SumBuilder) Begin(from int64) {
	builder.sum = HourlySum{from: from, next: from, objectives: make(map[string]objectiveAt)}
	builder.records, builder.rows, builder.coveredMinutes = 0, 0, 0
	builder.sources, builder.minutes = make(map[string]*sumSource), make(map[minute]map[Series]*Counts)
}

// Full reports whether the sum must be built before another record is added.
func (builder *SumBuilder) Full() bool {
	return builder.rows >= maxSumRows || builder.records >= maxSumRecords || len(builder.sources) >= maxSumSources ||
		len(builder.minutes) >= maxSumMinutes-maxBatchMinutes || builder.coveredMinutes >= maxSumCoveredMinutes-maxBatchMinutes
}

// AddRecord adds the record at offset, read at now, to the sum. It counts a record as unreadable if it cannot be
// decoded or if Aggregator.Add would ignore it.
func (builder *SumBuilder) AddRecord(offset int64, data []byte, now time.Time) {
	builder.sum.next = offset + 1
	builder.records++
	unreadable := builder.unreadable
	if batch, err := DecodeBatch(data); err != nil {
		builder.unreadable++
	} else {
		builder.addBatch(batch, builder.markCovered(batch, now))
	}
	builder.sum.unreadable += builder.unreadable - unreadable
}

// addBatch adds the minutes in added, which are those of batch that were not covered before, and the objectives.
func (builder *SumBuilder) addBatch(batch Batch, added []closedMinute) {
	coverage := builder.incarnations[batch.incarnation]
	if coverage == nil {
		return
	}
	source := builder.sources[batch.incarnation]
	if source == nil {
		source = &sumSource{domain: coverage.domain, instance: coverage.instance, incarnation: batch.incarnation}
		builder.sources[batch.incarnation] = source
	}
	source.first, source.final = coverage.first, coverage.final
	builder.coveredMinutes += len(added)
	for _, closed := range added {
		source.minutes = append(source.minutes, closed.minute)
		builder.addRows(closed)
	}
	if _, through := batch.span(); through > coverage.last {
		return // markCovered ignored the batch because of minutes in the future, so its objectives are left out too.
	}
	for kind := range batch.objectives {
		if at, known := builder.objectivesAt[kind]; known {
			builder.sum.objectives[kind] = objectiveAt{objective: builder.objectives[kind], at: at}
		}
	}
}

// addRows adds the rows of one minute.
func (builder *SumBuilder) addRows(closed closedMinute) {
	rows := builder.minutes[closed.minute]
	if rows == nil && len(closed.rows) > 0 {
		rows = make(map[Series]*Counts)
		builder.minutes[closed.minute] = rows
	}
	for _, row := range closed.rows {
		counts := rows[row.series]
		if counts == nil {
			counts = new(Counts)
			rows[row.series] = counts
			builder.rows++
		}
		counts.add(row.counts)
	}
}

// Build returns the sum of the records since Begin, for the hour of now, and false if there are none.
func (builder *SumBuilder) Build(now time.Time) (HourlySum, bool) {
	sum := builder.sum
	sum.hour = minuteOf(now.Truncate(time.Hour))
	for _, source := range builder.sources {
		slices.Sort(source.minutes)
		sum.sources = append(sum.sources, *source)
	}
	slices.SortFunc(sum.sources, func(a, b sumSource) int { return cmp.Compare(a.incarnation, b.incarnation) })
	for _, at := range slices.Sorted(maps.Keys(builder.minutes)) {
		closed := closedMinute{minute: at}
		for series, counts := range builder.minutes[at] {
			closed.rows = append(closed.rows, seriesCounts{series: series, counts: *counts})
		}
		slices.SortFunc(closed.rows, func(a, b seriesCounts) int { return compareSeries(a.series, b.series) })
		sum.minutes = append(sum.minutes, closed)
	}
	return sum, sum.next > sum.from
}
