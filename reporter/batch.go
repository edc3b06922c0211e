package reporter

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	batchFormat = 1
	// maxBatchRows bounds one record of the log to about 700 KB.
	maxBatchRows = 20_000
	// maxBatchMinutes bounds the span that a decoded record may claim to cover.
	maxBatchMinutes = windowMinutes
)

// Batch holds consecutive closed minutes of one incarnation. A minute is the same in every batch that holds it, so a
// reader counts each minute of an incarnation once, however often it was appended.
type Batch struct {
	domain, instance, incarnation string

	final      bool
	minutes    []closedMinute
	objectives map[string]Objective
}

// span returns the first and the last minute.
func (batch Batch) span() (first, last minute) {
	return batch.minutes[0].minute, batch.minutes[len(batch.minutes)-1].minute
}

// batchRecord is the JSON form of a batch on stream burn.
type batchRecord struct {
	Format      int               `json:"format"`
	Domain      string            `json:"domain"`
	Instance    string            `json:"instance"`
	Incarnation string            `json:"incarnation"`
	From        minute            `json:"from-minute"`
	Through     minute            `json:"through-minute"`
	Final       bool              `json:"final,omitempty"`
	Objectives  []objectiveRecord `json:"objectives,omitempty"`
	Series      []Series          `json:"series,omitempty"`
	// Counts has one row per minute and series with answers: the minute after From, the index in Series, and the
	// count of each class.
	Counts [][]uint64 `json:"counts,omitempty"`
}

type objectiveRecord struct {
	Kind     string  `json:"kind"`
	WithinMS int64   `json:"within-ms"`
	Percent  float64 `json:"percent"`
}

func compareSeries(a, b Series) int {
	if order := strings.Compare(a.Kind, b.Kind); order != 0 {
		return order
	}
	return strings.Compare(a.Team, b.Team)
}

// Encode returns the record to append to stream burn; equal batches have equal records.
func (batch Batch) Encode() ([]byte, error) {
	first, last := batch.span()
	record := batchRecord{
		Format: batchFormat, Domain: batch.domain, Instance: batch.instance, Incarnation: batch.incarnation,
		From: first, Through: last, Final: batch.final,
	}
	for kind, objective := range batch.objectives {
		record.Objectives = append(record.Objectives,
			objectiveRecord{Kind: kind, WithinMS: objective.within.Milliseconds(), Percent: objective.percent})
	}
	slices.SortFunc(record.Objectives, func(a, b objectiveRecord) int { return strings.Compare(a.Kind, b.Kind) })
	index := make(map[Series]uint64)
	for _, closed := range batch.minutes {
		for series := range closed.counts {
			if _, ok := index[series]; !ok {
				index[series] = 0
				record.Series = append(record.Series, series)
			}
		}
	}
	slices.SortFunc(record.Series, compareSeries)
	for i, series := range record.Series {
		index[series] = uint64(i)
	}
	for _, closed := range batch.minutes {
		start := len(record.Counts)
		for series, counts := range closed.counts {
			record.Counts = append(record.Counts, append([]uint64{uint64(closed.minute - first), index[series]}, counts[:]...))
		}
		slices.SortFunc(record.Counts[start:], slices.Compare[[]uint64])
	}
	data, err := json.Marshal(record)
	return data, eris.Wrap(err, "encoding a burn record")
}

// Decode returns the batch in a record of stream burn, or an error if any part of it is out of bounds.
func Decode(data []byte) (Batch, error) {
	var record batchRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return Batch{}, eris.Wrap(err, "decoding a burn record")
	}
	span := record.Through - record.From
	if record.Format != batchFormat || record.Incarnation == "" || record.From < 0 || span < 0 || span >= maxBatchMinutes {
		return Batch{}, eris.Errorf("burn record of format %d for minutes %d to %d of incarnation %q is out of bounds",
			record.Format, record.From, record.Through, record.Incarnation)
	}
	batch := Batch{
		domain: record.Domain, instance: record.Instance, incarnation: record.Incarnation, final: record.Final,
		objectives: make(map[string]Objective), minutes: make([]closedMinute, span+1),
	}
	for i := range batch.minutes {
		batch.minutes[i] = closedMinute{minute: record.From + minute(i), counts: make(map[Series]*Counts)}
	}
	for _, entry := range record.Objectives {
		objective, err := NewObjective(time.Duration(entry.WithinMS)*time.Millisecond, entry.Percent)
		if err != nil {
			return Batch{}, eris.Wrapf(err, "burn record, kind %s", entry.Kind)
		}
		batch.objectives[entry.Kind] = objective
	}
	for _, row := range record.Counts {
		if len(row) != 2+int(classes) || row[0] > uint64(span) || row[1] >= uint64(len(record.Series)) {
			return Batch{}, eris.Errorf("burn record of incarnation %s has a row that is out of bounds", record.Incarnation)
		}
		counts := batch.minutes[row[0]].counts
		series := record.Series[row[1]]
		if counts[series] == nil {
			counts[series] = new(Counts)
		}
		counts[series].add(Counts(row[2:]))
	}
	return batch, nil
}
