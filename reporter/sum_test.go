package reporter

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sumSimulation simulates a log of minute records and of sums, which several builders read and append at different
// times.
type sumSimulation struct {
	*rand.Rand
	now           time.Time
	log           [][]byte
	trimmed       int      // offset of the first record that is still in the log
	sums          [][]byte // records of the sums
	losesCoverage bool     // builders may lose the coverage of earlier sums, as after a trim of the log
}

// simulatedBuilder is a builder with its read positions in the records and in the sums.
type simulatedBuilder struct {
	builder       *SumBuilder
	next, nextSum int
}

// read adds the minute records in [next, until) to aggregator.
func (simulation *sumSimulation) read(aggregator *Aggregator, next *int, until int) {
	for *next = max(*next, min(simulation.trimmed, until)); *next < until; *next++ {
		if batch, err := DecodeBatch(simulation.log[*next]); err == nil {
			aggregator.Add(batch, simulation.now)
		} else {
			aggregator.AddUnreadable()
		}
	}
}

// readSums adds sums and minute records in the same order as the cursor of package accountant.
func (simulation *sumSimulation) readSums(aggregator *Aggregator, next, nextSum *int) {
	for ; *nextSum < len(simulation.sums); *nextSum++ {
		sum, err := DecodeSum(simulation.sums[*nextSum])
		if err != nil || int(sum.From()) < *next {
			continue
		}
		simulation.read(aggregator, next, int(sum.From()))
		if aggregator.AddSum(sum, simulation.now) {
			*next = int(sum.Next())
		} else {
			simulation.read(aggregator, next, int(sum.Next()))
		}
	}
}

// appendSum appends the sum of the records that a builder has read, which may be fewer than the log contains.
func (simulation *sumSimulation) appendSum(simulatedBuilder *simulatedBuilder) {
	simulation.readSums(simulatedBuilder.builder.Aggregator, &simulatedBuilder.next, &simulatedBuilder.nextSum)
	if simulation.losesCoverage && simulation.IntN(5) == 0 {
		simulatedBuilder.builder = NewSumBuilder()
	}
	from := max(simulatedBuilder.next, simulation.trimmed)
	until := len(simulation.log) - simulation.IntN(3)
	if until <= from {
		return
	}
	simulatedBuilder.builder.Begin(int64(from))
	for offset := from; offset < until; offset++ {
		simulatedBuilder.builder.AddRecord(int64(offset), simulation.log[offset], simulation.now)
	}
	sum, _ := simulatedBuilder.builder.Build(simulation.now)
	data, err := sum.Encode()
	if err != nil {
		panic(err)
	}
	for range 1 + simulation.IntN(2) { // appended again if the response to the first append was lost
		simulation.sums = append(simulation.sums, data)
	}
	*simulatedBuilder = newSimulatedBuilder()
}

func newSimulatedBuilder() simulatedBuilder { return simulatedBuilder{builder: NewSumBuilder()} }

// damage truncates a random record or flips one of its bits.
func (simulation *sumSimulation) damage(records [][]byte) {
	if len(records) == 0 {
		return
	}
	index := simulation.IntN(len(records))
	damaged := append([]byte(nil), records[index]...)
	if simulation.IntN(2) == 0 {
		damaged = damaged[:simulation.IntN(len(damaged))]
	} else {
		damaged[simulation.IntN(len(damaged))] ^= 1 << simulation.IntN(8)
	}
	records[index] = damaged
}

// simulateSums appends records to a log while two builders append sums of them. Records are repeated, delayed, or
// damaged before they are read.
func simulateSums(seed uint64, steps int, losesCoverage bool) (*sumSimulation, *Aggregator) {
	simulation := &sumSimulation{Rand: rand.New(rand.NewPCG(seed, 2)), now: testStart, losesCoverage: losesCoverage}
	naive := NewAggregator()
	naive.SetComplete(true)
	builders := []simulatedBuilder{newSimulatedBuilder(), newSimulatedBuilder()}
	var delayed [][]byte
	for i := range steps {
		simulation.now = testStart.Add(time.Duration(i) * 20 * time.Minute)
		for _, index := range []int{0, 1, 2} {
			data := simulation.batch(index, i)
			if simulation.IntN(6) == 0 {
				delayed = append(delayed, data)
				continue
			}
			simulation.log = append(simulation.log, data)
			if simulation.IntN(5) == 0 {
				delayed = append(delayed, data) // appended again after a lost response, possibly after a sum
			}
		}
		if len(delayed) > 0 && simulation.IntN(3) == 0 {
			simulation.log = append(simulation.log, delayed...)
			delayed = nil
		}
		if simulation.IntN(12) == 0 {
			simulation.damage(simulation.log[max(len(simulation.log)-1, 0):])
		}
		// Both builders may read before either appends, so that their sums have records in common.
		if simulation.IntN(8) == 0 {
			before := len(simulation.sums)
			simulation.appendSum(&builders[0])
			if simulation.IntN(2) == 0 {
				appended := simulation.sums[before:]
				simulation.sums = simulation.sums[:before:before]
				simulation.appendSum(&builders[1])
				simulation.sums = append(simulation.sums, appended...)
			}
		}
	}
	simulation.now = simulation.now.Add(time.Minute)
	for _, data := range simulation.log {
		if batch, err := DecodeBatch(data); err == nil {
			naive.Add(batch, simulation.now)
		} else {
			naive.AddUnreadable()
		}
	}
	return simulation, naive
}

// batch returns the record of one to seven minutes of one of three instances.
func (simulation *sumSimulation) batch(index, step int) []byte {
	batch := Batch{domain: "local", instance: fmt.Sprint(index), incarnation: fmt.Sprintf("%d#%d", index, step/80)}
	batch.objectives = map[string]Objective{"check": {within: time.Second, percent: float64(90 + step%9)}}
	first := minuteOf(simulation.now) - 7
	for i := range 1 + simulation.IntN(7) {
		closed := closedMinute{minute: first + minute(i)}
		for team := range simulation.IntN(4) {
			counts := Counts{uint64(simulation.IntN(9)), uint64(simulation.IntN(3)), 0, uint64(simulation.IntN(2))}
			closed.rows = append(closed.rows, seriesCounts{series: Series{Kind: "check", Team: fmt.Sprintf("team-%d", team)}, counts: counts})
		}
		batch.minutes = append(batch.minutes, closed)
	}
	data, err := batch.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against minutes that are lost, counted twice, or shown as covered without a record when reading sums. Causes
// are a second sum of the same hour by a builder that had read fewer records, late minutes, records and sums that are
// appended twice, and damaged records.
func TestSumsAgainstNaive(t *testing.T) {
	used := 0
	for seed := range uint64(24) {
		simulation, naive := simulateSums(seed, 250, seed%2 == 0)
		if seed%4 == 3 {
			simulation.damage(simulation.sums) // a sum that the builders may have read
		}
		aggregator, next, nextSum := NewAggregator(), 0, 0
		aggregator.SetComplete(true)
		simulation.readSums(aggregator, &next, &nextSum)
		used += next
		simulation.read(aggregator, &next, len(simulation.log))
		if got, want := aggregator.Report(simulation.now), naive.Report(simulation.now); !reflect.DeepEqual(got, want) {
			t.Errorf("seed %d: the report is\n%+v, naive\n%+v", seed, got, want)
		}
	}
	is.New(t).True(used > 24*600) // most records were read from sums
}

// Guards against minutes that are shown as covered although their records were trimmed from the log, and against a trim
// that hides minutes in the remaining sums.
func TestSumsOfTrimmedLog(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		simulation, _ := simulateSums(seed, 150, false)
		simulation.trimmed = len(simulation.log) * 9 / 10
		dropped := int(seed) % 5
		simulation.sums = simulation.sums[min(dropped, len(simulation.sums)):]
		want, inSums := NewAggregator(), make(map[int]bool)
		for next, nextSum := 0, 0; nextSum < len(simulation.sums); nextSum++ {
			sum, err := DecodeSum(simulation.sums[nextSum])
			is.NoErr(err)
			if int(sum.From()) >= next {
				for next = int(sum.From()); next < int(sum.Next()); next++ {
					inSums[next] = true
				}
			}
		}
		for offset, data := range simulation.log {
			if batch, err := DecodeBatch(data); (inSums[offset] || offset >= simulation.trimmed) && err == nil {
				want.Add(batch, simulation.now)
			}
		}
		aggregator, next, nextSum := NewAggregator(), 0, 0
		simulation.readSums(aggregator, &next, &nextSum)
		simulation.read(aggregator, &next, len(simulation.log))
		report, bound := aggregator.Report(simulation.now), want.Report(simulation.now)
		for i, coverage := range report.Coverage {
			// A sum leaves out minutes of earlier sums, which may be trimmed, so there may be fewer covered minutes but
			// never more.
			is.True(coverage.CoveredMinutes <= bound.Coverage[i].CoveredMinutes)
			is.True(dropped > 0 || coverage == bound.Coverage[i])
		}
		for i, row := range report.Rows {
			for j, burn := range row.Burns {
				is.True(burn.Answers <= bound.Rows[i].Burns[j].Answers)
			}
			is.True(dropped > 0 || reflect.DeepEqual(row, bound.Rows[i]))
		}
	}
}
