package reporter

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sumSimulation is a log of minute records and of sums, appended by several summers that read it at different times.
type sumSimulation struct {
	*rand.Rand
	now     time.Time
	log     [][]byte
	trimmed int // offset of the first record that the log still holds
	hours   [][]byte
	forgets bool // summers may not know what earlier sums hold, as after a trim of the log
}

// simulatedBuilder is one summer; it trusts the sums that it has read.
type simulatedBuilder struct {
	summer      *SumBuilder
	next, hours int
}

// read adds the minute records from next to before until to ledger.
func (simulation *sumSimulation) read(aggregator *Aggregator, next *int, until int) {
	for *next = max(*next, min(simulation.trimmed, until)); *next < until; *next++ {
		if batch, err := DecodeBatch(simulation.log[*next]); err == nil {
			aggregator.Add(batch, simulation.now)
		} else {
			aggregator.AddUnreadable()
		}
	}
}

// readSums follows the rule of package accountant.
func (simulation *sumSimulation) readSums(aggregator *Aggregator, next, hours *int) {
	for ; *hours < len(simulation.hours); *hours++ {
		sum, err := DecodeSum(simulation.hours[*hours])
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

// sum appends the sum of what a summer sees, which may be less than the log holds.
func (simulation *sumSimulation) sum(simulatedBuilder *simulatedBuilder) {
	simulation.readSums(simulatedBuilder.summer.Aggregator, &simulatedBuilder.next, &simulatedBuilder.hours)
	if simulation.forgets && simulation.IntN(5) == 0 {
		simulatedBuilder.summer = NewSumBuilder()
	}
	from := max(simulatedBuilder.next, simulation.trimmed)
	until := len(simulation.log) - simulation.IntN(3)
	if until <= from {
		return
	}
	simulatedBuilder.summer.Begin(int64(from))
	for offset := from; offset < until; offset++ {
		simulatedBuilder.summer.AddRecord(int64(offset), simulation.log[offset], simulation.now)
	}
	sum, _ := simulatedBuilder.summer.Build(simulation.now)
	data, err := sum.Encode()
	if err != nil {
		panic(err)
	}
	for range 1 + simulation.IntN(2) { // the answer to the append was lost, and it was appended again
		simulation.hours = append(simulation.hours, data)
	}
	*simulatedBuilder = newSimulatedBuilder()
}

func newSimulatedBuilder() simulatedBuilder { return simulatedBuilder{summer: NewSumBuilder()} }

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

// simulateSums plays the records of a simulation into a log while two summers sum it; records repeat, come late and
// are damaged before anybody reads them.
func simulateSums(seed uint64, steps int, forgets bool) (*sumSimulation, *Aggregator) {
	simulation := &sumSimulation{Rand: rand.New(rand.NewPCG(seed, 2)), now: testStart, forgets: forgets}
	naive := NewAggregator()
	naive.SetComplete(true)
	summers := []simulatedBuilder{newSimulatedBuilder(), newSimulatedBuilder()}
	var delayed [][]byte
	for i := range steps {
		simulation.now = testStart.Add(time.Duration(i) * 20 * time.Minute)
		for _, run := range []int{0, 1, 2} {
			data := simulation.batch(run, i)
			if simulation.IntN(6) == 0 {
				delayed = append(delayed, data)
				continue
			}
			simulation.log = append(simulation.log, data)
			if simulation.IntN(5) == 0 {
				delayed = append(delayed, data) // appended again after a lost answer, perhaps after a sum
			}
		}
		if len(delayed) > 0 && simulation.IntN(3) == 0 {
			simulation.log = append(simulation.log, delayed...)
			delayed = nil
		}
		if simulation.IntN(12) == 0 {
			simulation.damage(simulation.log[max(len(simulation.log)-1, 0):])
		}
		// Both summers may read before either appends, and so sum the same records.
		if simulation.IntN(8) == 0 {
			stale := len(simulation.hours)
			simulation.sum(&summers[0])
			if simulation.IntN(2) == 0 {
				appended := simulation.hours[stale:]
				simulation.hours = simulation.hours[:stale:stale]
				simulation.sum(&summers[1])
				simulation.hours = append(simulation.hours, appended...)
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
func (simulation *sumSimulation) batch(run, step int) []byte {
	batch := Batch{domain: "local", instance: fmt.Sprint(run), incarnation: fmt.Sprintf("%d#%d", run, step/80)}
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

// Guards against a minute that sums lose or count twice (a second sum of an hour by a summer that had seen less, late
// minutes, records and sums appended twice, damaged records), and against a gap in them that is shown as covered.
func TestSumsAgainstNaive(t *testing.T) {
	used := 0
	for seed := range uint64(24) {
		simulation, naive := simulateSums(seed, 250, seed%2 == 0)
		if seed%4 == 3 {
			simulation.damage(simulation.hours) // after other summers have built on it
		}
		aggregator, next, hours := NewAggregator(), 0, 0
		aggregator.SetComplete(true)
		simulation.readSums(aggregator, &next, &hours)
		used += next
		simulation.read(aggregator, &next, len(simulation.log))
		if got, want := aggregator.Report(simulation.now), naive.Report(simulation.now); !reflect.DeepEqual(got, want) {
			t.Errorf("seed %d: the report is\n%+v, naive\n%+v", seed, got, want)
		}
	}
	is.New(t).True(used > 24*600) // most records were read as sums
}

// Guards against minutes that a trimmed log no longer holds and that pass as covered, and against a trim that hides
// what the remaining sums hold.
func TestSumsOfTrimmedLog(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		simulation, _ := simulateSums(seed, 150, false)
		simulation.trimmed = len(simulation.log) * 9 / 10
		dropped := int(seed) % 5
		simulation.hours = simulation.hours[min(dropped, len(simulation.hours)):]
		want, held := NewAggregator(), make(map[int]bool)
		for next, hours := 0, 0; hours < len(simulation.hours); hours++ {
			sum, err := DecodeSum(simulation.hours[hours])
			is.NoErr(err)
			if int(sum.From()) >= next {
				for next = int(sum.From()); next < int(sum.Next()); next++ {
					held[next] = true
				}
			}
		}
		for offset, data := range simulation.log {
			if batch, err := DecodeBatch(data); (held[offset] || offset >= simulation.trimmed) && err == nil {
				want.Add(batch, simulation.now)
			}
		}
		aggregator, next, hours := NewAggregator(), 0, 0
		simulation.readSums(aggregator, &next, &hours)
		simulation.read(aggregator, &next, len(simulation.log))
		report, bound := aggregator.Report(simulation.now), want.Report(simulation.now)
		for i, coverage := range report.Coverage {
			// A sum leaves out a minute that an earlier, trimmed one holds, so there may be fewer but never more.
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
