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

// sumTurnSpread is the part of an hour over which the turns of the instances are spread.
const sumTurnSpread = 30 * time.Minute

// SumTurn returns when an instance is to append the sums of the hour of now unless another one has done so. Rendezvous
// hashing of the hour over the instances gives the order; as with bundle renewals, it needs no list of instances, and
// a later turn takes over from a dead or silent instance.
func SumTurn(now time.Time, failureDomain, instance string) time.Time {
	hour := now.Truncate(time.Hour)
	hash := sha256.Sum256([]byte(strconv.FormatInt(hour.Unix(), 10) + "\x00" + failureDomain + "\x00" + instance))
	share := float64(binary.BigEndian.Uint64(hash[:8])) / math.MaxUint64
	return hour.Add(time.Duration(share * float64(sumTurnSpread)))
}

// Summer adds up consecutive records of stream burn. Its ledger holds the coverage of all earlier records, so that a
// minute that was appended twice is in one sum. It is not safe for concurrent use.
type Summer struct {
	*Ledger
	sum     Sum
	records int
	rows    int
	covered int // minutes of all runs
	runs    map[string]*sumRun
	minutes map[minute]map[Series]*Counts
}

// NewSummer returns a summer without any coverage.
func NewSummer() *Summer {
	summer := &Summer{Ledger: NewLedger()}
	summer.coverageOnly = true
	summer.Begin(0)
	return summer
}

// Begin starts a new sum at the record with offset from; the coverage stays.
func (summer *Summer) Begin(from int64) {
	summer.sum = Sum{from: from, next: from, objectives: make(map[string]objectiveAt)}
	summer.records, summer.rows, summer.covered = 0, 0, 0
	summer.runs, summer.minutes = make(map[string]*sumRun), make(map[minute]map[Series]*Counts)
}

// Full reports whether the sum is to be cut before another record is added.
func (summer *Summer) Full() bool {
	return summer.rows >= maxSumRows || summer.records >= maxSumRecords || len(summer.runs) >= maxSumRuns ||
		len(summer.minutes) >= maxSumMinutes-maxBatchMinutes || summer.covered >= maxSumCovered-maxBatchMinutes
}

// AddRecord adds the record at offset, read at now, to the sum; a record that cannot be decoded is counted.
func (summer *Summer) AddRecord(offset int64, data []byte, now time.Time) {
	summer.sum.next = offset + 1
	summer.records++
	unreadable := summer.unreadable
	if batch, err := Decode(data); err != nil {
		summer.unreadable++
	} else {
		summer.addBatch(batch, summer.cover(batch, now))
	}
	summer.sum.unreadable += summer.unreadable - unreadable
}

// addBatch adds the minutes of batch that were not covered before.
func (summer *Summer) addBatch(batch Batch, added []closedMinute) {
	covered := summer.incarnations[batch.incarnation]
	if covered == nil {
		return
	}
	run := summer.runs[batch.incarnation]
	if run == nil {
		run = &sumRun{domain: covered.domain, instance: covered.instance, incarnation: batch.incarnation}
		summer.runs[batch.incarnation] = run
	}
	run.first, run.final = covered.first, covered.final
	summer.covered += len(added)
	for _, closed := range added {
		run.minutes = append(run.minutes, closed.minute)
		summer.addRows(closed)
	}
	if _, through := batch.span(); through > covered.last {
		return // Its minutes were in the future and are left out, with its objectives.
	}
	for kind := range batch.objectives {
		if at, known := summer.objectivesAt[kind]; known {
			summer.sum.objectives[kind] = objectiveAt{objective: summer.objectives[kind], at: at}
		}
	}
}

func (summer *Summer) addRows(closed closedMinute) {
	rows := summer.minutes[closed.minute]
	if rows == nil && len(closed.rows) > 0 {
		rows = make(map[Series]*Counts)
		summer.minutes[closed.minute] = rows
	}
	for _, row := range closed.rows {
		counts := rows[row.series]
		if counts == nil {
			counts = new(Counts)
			rows[row.series] = counts
			summer.rows++
		}
		counts.add(row.counts)
	}
}

// Cut returns the sum of the records since Begin, appended for the hour of now, and false if there are none.
func (summer *Summer) Cut(now time.Time) (Sum, bool) {
	sum := summer.sum
	sum.hour = minuteOf(now.Truncate(time.Hour))
	for _, run := range summer.runs {
		slices.Sort(run.minutes)
		sum.runs = append(sum.runs, *run)
	}
	slices.SortFunc(sum.runs, func(a, b sumRun) int { return cmp.Compare(a.incarnation, b.incarnation) })
	for _, at := range slices.Sorted(maps.Keys(summer.minutes)) {
		closed := closedMinute{minute: at}
		for series, counts := range summer.minutes[at] {
			closed.rows = append(closed.rows, seriesCounts{series: series, counts: *counts})
		}
		slices.SortFunc(closed.rows, func(a, b seriesCounts) int { return compareSeries(a.series, b.series) })
		sum.minutes = append(sum.minutes, closed)
	}
	return sum, sum.next > sum.from
}
