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
	// A sum ends early at maxSumRows or maxSumRecords, which limits it to about 5 MB in the log with the longest batch.
	maxSumRows    = 300_000
	maxSumRecords = 50_000
	// maxSumSources limits the incarnations in a sum.
	maxSumSources = 5_000
	// maxSumCount limits a count in a sum, so that the counts of the ten minutes of a coarse slot fit into its 32 bits.
	maxSumCount = 1 << 28
	// maxSumMinutes limits the minutes of a sum, and maxSumCoveredMinutes the total of the minutes of its incarnations,
	// which is enough for backlogs of three days of 230 instances. A sum ends early enough that the minutes of its last
	// record do not exceed these limits.
	maxSumMinutes        = 2 * windowMinutes
	maxSumCoveredMinutes = 1_000_000
)

// HourlySum holds the counts of consecutive records of stream burn, added up over the instances for each minute. The
// records are those since the previous sum, so their minutes are not those of a clock hour. A sum lists the minutes of
// each incarnation, so that an Aggregator can detect minutes that it has already counted.
type HourlySum struct {
	hour       minute // start of the hour for which it was appended
	from, next int64  // offsets of the first record and after the last one
	unreadable int
	sources    []sumSource
	objectives map[string]objectiveAt
	minutes    []closedMinute // ascending
}

// sumSource is an incarnation with records in a sum, and its minutes in that sum. In the JSON of a sum, the sources are
// called runs.
type sumSource struct {
	domain, instance, incarnation string

	first   minute
	final   bool
	minutes []minute // ascending
}

// objectiveAt is an objective and the latest minute at which it is known to have been in effect.
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

// last returns the latest minute in the counts, sources and objectives of the sum, or -1 if there is none.
func (sum HourlySum) last() minute {
	last := minute(-1)
	for _, closed := range sum.minutes {
		last = max(last, closed.minute)
	}
	for _, source := range sum.sources {
		if len(source.minutes) > 0 {
			last = max(last, source.minutes[len(source.minutes)-1])
		}
	}
	for _, latest := range sum.objectives {
		last = max(last, latest.at)
	}
	return last
}

// AddSum adds a sum, read at now, and reports whether it was added. It does not add a sum that has minutes that are
// already counted, minutes more than maxAheadMinutes in the future, or too many new incarnations. The caller must then
// add the records in the range of the sum instead.
func (aggregator *Aggregator) AddSum(sum HourlySum, now time.Time) bool {
	if sum.last() > minuteOf(now)+maxAheadMinutes {
		return false
	}
	newIncarnations := 0
	for _, source := range sum.sources {
		coverage := aggregator.incarnations[source.incarnation]
		if coverage == nil {
			newIncarnations++
		} else if slices.ContainsFunc(source.minutes, coverage.has) {
			return false
		}
	}
	if len(aggregator.incarnations)+newIncarnations > maxIncarnations {
		return false
	}
	for _, source := range sum.sources {
		coverage := aggregator.coverageOf(source.domain, source.instance, source.incarnation, source.first)
		coverage.first = min(coverage.first, source.first)
		coverage.final = coverage.final || source.final
		for _, at := range source.minutes {
			coverage.add(at)
		}
	}
	for kind, latest := range sum.objectives {
		aggregator.setObjectiveAt(kind, latest.objective, latest.at)
	}
	aggregator.unreadable += sum.unreadable
	for _, closed := range sum.minutes {
		aggregator.addCounts(closed)
	}
	return true
}

// sumRecord is the JSON form of a sum on stream burn-hours.
type sumRecord struct {
	Format     int                 `json:"format"`
	Hour       minute              `json:"hour-minute"`
	From       int64               `json:"from-offset"`
	Next       int64               `json:"next-offset"`
	Unreadable int                 `json:"unreadable,omitempty"`
	Sources    []sourceRecord      `json:"runs,omitempty"`
	Objectives []objectiveAtRecord `json:"objectives,omitempty"`
	Kinds      []string            `json:"kinds,omitempty"`
	Teams      []string            `json:"teams,omitempty"`
	// Counts is stored after the JSON and holds unsigned varints: per minute the distance from the previous one, the
	// number of rows, and the rows as in a batch.
	Counts []byte `json:"-"`
}

// sourceRecord is the JSON form of a sumSource.
type sourceRecord struct {
	Domain      string `json:"domain"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	First       minute `json:"first-minute"`
	Final       bool   `json:"final,omitempty"`
	// Minutes holds pairs of unsigned varints, one per run of consecutive minutes: the number of minutes between the
	// end of the previous run, or minute 0, and the start of this one, and the number of minutes in the run.
	Minutes []byte `json:"minutes"`
}

// objectiveAtRecord is the JSON form of an objectiveAt.
type objectiveAtRecord struct {
	objectiveRecord
	At minute `json:"at-minute"`
}

// Encode returns the record of the sum for stream burn-hours.
func (sum HourlySum) Encode() ([]byte, error) {
	record := sumRecord{Format: sumFormat, Hour: sum.hour, From: sum.from, Next: sum.next, Unreadable: sum.unreadable}
	for _, source := range sum.sources {
		record.Sources = append(record.Sources, sourceRecord{
			Domain: source.domain, Instance: source.instance, Incarnation: source.incarnation, First: source.first, Final: source.final,
			Minutes: appendMinutes(nil, source.minutes),
		})
	}
	for _, kind := range slices.Sorted(maps.Keys(sum.objectives)) {
		latest := sum.objectives[kind]
		entry := objectiveRecord{Kind: kind, WithinMS: latest.objective.within.Milliseconds(), Percent: latest.objective.percent}
		record.Objectives = append(record.Objectives, objectiveAtRecord{objectiveRecord: entry, At: latest.at})
	}
	kinds, teams := newNameIndex(), newNameIndex()
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
	return frameRecord(data, record.Counts), eris.Wrap(err, "encoding an hourly burn sum")
}

// appendMinutes appends minutes, which are ascending, to data in the form of sourceRecord.Minutes.
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

// DecodeSum returns the sum in a record of stream burn-hours, or an error if the record is damaged or a value is out of
// range.
func DecodeSum(data []byte) (HourlySum, error) {
	data, counts, err := unframeRecord(data)
	if err != nil {
		return HourlySum{}, err
	}
	if counts == nil {
		return HourlySum{}, eris.New("hourly burn sum without a checksum")
	}
	record := sumRecord{Counts: counts}
	if err := json.Unmarshal(data, &record); err != nil {
		return HourlySum{}, eris.Wrap(err, "decoding an hourly burn sum")
	}
	if record.Format != sumFormat || record.From < 0 || record.Next <= record.From || record.Unreadable < 0 || len(record.Sources) > maxSumSources {
		return HourlySum{}, eris.Errorf("invalid hourly burn sum: format %d, records %d to %d", record.Format, record.From, record.Next)
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
	return sum, record.decodeInto(&sum)
}

// decodeInto decodes the sources and the minutes of the record into sum.
func (record sumRecord) decodeInto(sum *HourlySum) error {
	seen, remaining := make(map[string]bool), maxSumCoveredMinutes
	for _, entry := range record.Sources {
		minutes, ok := decodeMinutes(entry.Minutes, remaining)
		remaining -= len(minutes)
		if !ok || entry.Incarnation == "" || seen[entry.Incarnation] || entry.First < 0 {
			return eris.Errorf("hourly burn sum: invalid or duplicate entry of incarnation %q", entry.Incarnation)
		}
		seen[entry.Incarnation] = true
		sum.sources = append(sum.sources, sumSource{
			domain: entry.Domain, instance: entry.Instance, incarnation: entry.Incarnation,
			first: entry.First, final: entry.Final, minutes: minutes,
		})
	}
	reader := &varintReader{data: record.Counts}
	// The limit of 1 << 40 is beyond every real minute, and the additions cannot overflow.
	for at := minute(0); len(reader.data) > 0; {
		at += minute(reader.next(1 << 40))
		rows := reader.rows(record.Kinds, record.Teams, maxSumCount)
		if reader.invalid || len(sum.minutes) >= maxSumMinutes {
			return eris.Errorf("hourly burn sum: the counts of minute %d are invalid, or there are too many minutes", at)
		}
		sum.minutes = append(sum.minutes, closedMinute{minute: at, rows: rows})
	}
	return nil
}

// decodeMinutes returns the minutes in data, which has the form of sourceRecord.Minutes, and false if they are invalid
// or more than limit.
func decodeMinutes(data []byte, limit int) ([]minute, bool) {
	reader := &varintReader{data: data}
	var minutes []minute
	for next := minute(0); len(reader.data) > 0; {
		next += minute(reader.next(1 << 40))
		length := reader.next(maxSumCoveredMinutes)
		if reader.invalid || length == 0 || len(minutes)+int(length) > limit {
			return nil, false
		}
		for range length {
			minutes = append(minutes, next)
			next++
		}
	}
	return minutes, true
}
