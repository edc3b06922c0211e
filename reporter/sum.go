package reporter

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	sumFormat = 1
	// maxSumRows and maxSumRecords end a sum early, which bounds it to about 5 MB in the log at the longest batch.
	maxSumRows    = 300_000
	maxSumRecords = 50_000
	// maxSumRuns bounds the incarnations of one sum.
	maxSumRuns = 5_000
	// maxSumCount bounds one count of a sum: ten of them, one slot of a ledger, fit 32 bits.
	maxSumCount = 1 << 28
	// maxSumMinutes bounds the minutes of a sum, and maxSumCovered those of its incarnations together: backlogs of three
	// days of 230 instances. A sum ends early so that one more record cannot pass them.
	maxSumMinutes = 2 * windowMinutes
	maxSumCovered = 1_000_000
)

// HourlySum holds the answers of a run of consecutive records of stream burn, added up over the instances by the minute. Each
// minute of an incarnation is listed, so that a ledger can tell whether a sum repeats what it has counted.
type HourlySum struct {
	hour       minute // the hour for which it was appended
	from, next int64  // the offsets of the first record and after the last one
	unreadable int
	runs       []sumRun
	objectives map[string]objectiveAt
	minutes    []closedMinute // ascending
}

// sumRun is one incarnation of which the records of a sum hold something.
type sumRun struct {
	domain, instance, incarnation string

	first   minute
	final   bool
	minutes []minute // ascending, those that are in the sum
}

type objectiveAt struct {
	objective Objective
	at        minute
}

// From returns the offset of the first record of stream burn that is in the sum.
func (sum HourlySum) From() int64 { return sum.from }

// Next returns the offset after the last record of stream burn that is in the sum.
func (sum HourlySum) Next() int64 { return sum.next }

// Hour returns the start of the hour for which the sum was appended.
func (sum HourlySum) Hour() time.Time { return sum.hour.time() }

// last returns the latest minute that the sum names anywhere.
func (sum HourlySum) last() minute {
	last := minute(-1)
	for _, closed := range sum.minutes {
		last = max(last, closed.minute)
	}
	for _, run := range sum.runs {
		if len(run.minutes) > 0 {
			last = max(last, run.minutes[len(run.minutes)-1])
		}
	}
	for _, set := range sum.objectives {
		last = max(last, set.at)
	}
	return last
}

// AddSum adds a sum, read at now, and reports whether it did. A sum that holds any minute of an incarnation that is
// already counted, or minutes in the future, or more incarnations than there is room for, is left out as a whole; the
// caller then adds the records of its range.
func (aggregator *Aggregator) AddSum(sum HourlySum, now time.Time) bool {
	if sum.last() > minuteOf(now)+maxAheadMinutes {
		return false
	}
	unknown := 0
	for _, run := range sum.runs {
		covered := aggregator.incarnations[run.incarnation]
		if covered == nil {
			unknown++
		} else if slices.ContainsFunc(run.minutes, covered.has) {
			return false
		}
	}
	if len(aggregator.incarnations)+unknown > maxLedgerIncarnations {
		return false
	}
	for _, run := range sum.runs {
		covered := aggregator.incarnation(run.domain, run.instance, run.incarnation, run.first)
		covered.first = min(covered.first, run.first)
		covered.final = covered.final || run.final
		for _, at := range run.minutes {
			covered.add(at)
		}
	}
	for kind, set := range sum.objectives {
		aggregator.setObjectiveAt(kind, set.objective, set.at)
	}
	aggregator.unreadable += sum.unreadable
	for _, closed := range sum.minutes {
		aggregator.count(closed)
	}
	return true
}

// sumRecord is the JSON form of a sum on stream burn-hours.
type sumRecord struct {
	Format     int             `json:"format"`
	Hour       minute          `json:"hour-minute"`
	From       int64           `json:"from-offset"`
	Next       int64           `json:"next-offset"`
	Unreadable int             `json:"unreadable,omitempty"`
	Runs       []runRecord     `json:"runs,omitempty"`
	Objectives []objectiveSeen `json:"objectives,omitempty"`
	Kinds      []string        `json:"kinds,omitempty"`
	Teams      []string        `json:"teams,omitempty"`
	// Counts follows the JSON and holds unsigned varints: per minute the distance from the one before, the number of rows, and the rows as in
	// a batch.
	Counts []byte `json:"-"`
}

type runRecord struct {
	Domain      string `json:"domain"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	First       minute `json:"first-minute"`
	Final       bool   `json:"final,omitempty"`
	// Minutes holds, from minute zero on, pairs of unsigned varints: minutes left out, minutes present.
	Minutes []byte `json:"minutes"`
}

type objectiveSeen struct {
	objectiveRecord
	At minute `json:"at-minute"`
}

// Encode returns the record to append to stream burn-hours.
func (sum HourlySum) Encode() ([]byte, error) {
	record := sumRecord{Format: sumFormat, Hour: sum.hour, From: sum.from, Next: sum.next, Unreadable: sum.unreadable}
	for _, run := range sum.runs {
		record.Runs = append(record.Runs, runRecord{
			Domain: run.domain, Instance: run.instance, Incarnation: run.incarnation, First: run.first, Final: run.final,
			Minutes: appendMinutes(nil, run.minutes),
		})
	}
	for _, kind := range slices.Sorted(maps.Keys(sum.objectives)) {
		set := sum.objectives[kind]
		entry := objectiveRecord{Kind: kind, WithinMS: set.objective.within.Milliseconds(), Percent: set.objective.percent}
		record.Objectives = append(record.Objectives, objectiveSeen{objectiveRecord: entry, At: set.at})
	}
	kinds, teams := newNames(), newNames()
	last := minute(0)
	for _, closed := range sum.minutes {
		record.Counts = binary.AppendUvarint(record.Counts, uint64(closed.minute-last))
		record.Counts = binary.AppendUvarint(record.Counts, uint64(len(closed.rows)))
		for _, row := range closed.rows {
			record.Counts = binary.AppendUvarint(record.Counts, kinds.index(row.series.Kind))
			record.Counts = binary.AppendUvarint(record.Counts, teams.index(row.series.Team))
			record.Counts = appendCounts(record.Counts, row.counts)
		}
		last = closed.minute
	}
	record.Kinds, record.Teams = kinds.list, teams.list
	data, err := json.Marshal(record)
	return seal(data, record.Counts), eris.Wrap(err, "encoding an hourly burn sum")
}

func appendMinutes(data []byte, minutes []minute) []byte {
	next := minute(0)
	for i := 0; i < len(minutes); {
		length := 1
		for i+length < len(minutes) && minutes[i+length] == minutes[i]+minute(length) {
			length++
		}
		data = binary.AppendUvarint(data, uint64(minutes[i]-next))
		data = binary.AppendUvarint(data, uint64(length))
		next = minutes[i] + minute(length)
		i += length
	}
	return data
}

// DecodeSum returns the sum in a record of stream burn-hours, or an error if any part of it is out of bounds.
func DecodeSum(data []byte) (HourlySum, error) {
	data, counts, err := unseal(data)
	if err != nil {
		return HourlySum{}, err
	}
	if counts == nil {
		return HourlySum{}, eris.New("an hourly burn sum has no checksum")
	}
	record := sumRecord{Counts: counts}
	if err := json.Unmarshal(data, &record); err != nil {
		return HourlySum{}, eris.Wrap(err, "decoding an hourly burn sum")
	}
	if record.Format != sumFormat || record.From < 0 || record.Next <= record.From || record.Unreadable < 0 || len(record.Runs) > maxSumRuns {
		return HourlySum{}, eris.Errorf("hourly burn sum of format %d for records %d to %d is out of bounds", record.Format, record.From, record.Next)
	}
	sum := HourlySum{
		hour: record.Hour, from: record.From, next: record.Next, unreadable: record.Unreadable,
		objectives: make(map[string]objectiveAt),
	}
	for _, entry := range record.Objectives {
		objective, err := NewObjective(time.Duration(entry.WithinMS)*time.Millisecond, entry.Percent)
		if err != nil {
			return HourlySum{}, eris.Wrapf(err, "hourly burn sum, kind %s", entry.Kind)
		}
		sum.objectives[entry.Kind] = objectiveAt{objective: objective, at: entry.At}
	}
	return sum, record.readInto(&sum)
}

// readInto fills the runs and the minutes of sum.
func (record sumRecord) readInto(sum *HourlySum) error {
	seen, room := make(map[string]bool), maxSumCovered
	for _, entry := range record.Runs {
		minutes, ok := readMinutes(entry.Minutes, room)
		room -= len(minutes)
		if !ok || entry.Incarnation == "" || seen[entry.Incarnation] || entry.First < 0 {
			return eris.Errorf("hourly burn sum: incarnation %q is out of bounds", entry.Incarnation)
		}
		seen[entry.Incarnation] = true
		sum.runs = append(sum.runs, sumRun{
			domain: entry.Domain, instance: entry.Instance, incarnation: entry.Incarnation,
			first: entry.First, final: entry.Final, minutes: minutes,
		})
	}
	reader := &rowReader{data: record.Counts}
	for at := minute(0); len(reader.data) > 0; {
		at += minute(reader.next(1 << 40))
		rows := reader.rows(record.Kinds, record.Teams, maxSumCount)
		if reader.fault || len(sum.minutes) >= maxSumMinutes {
			return eris.Errorf("hourly burn sum: the counts of minute %d are out of bounds", at)
		}
		sum.minutes = append(sum.minutes, closedMinute{minute: at, rows: rows})
	}
	return nil
}

// readMinutes returns the minutes of one incarnation, and false if they are out of bounds or more than limit.
func readMinutes(data []byte, limit int) ([]minute, bool) {
	reader := &rowReader{data: data}
	var minutes []minute
	for next := minute(0); len(reader.data) > 0; {
		next += minute(reader.next(1 << 40))
		length := reader.next(maxSumCovered)
		if reader.fault || length == 0 || len(minutes)+int(length) > limit {
			return nil, false
		}
		for range length {
			minutes = append(minutes, next)
			next++
		}
	}
	return minutes, true
}
