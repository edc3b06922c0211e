package reporter

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sumWorld is a log of minute records and of sums, appended by several summers that read it at different times.
type sumWorld struct {
	*rand.Rand
	now     time.Time
	log     [][]byte
	trimmed int // offset of the first record that the log still holds
	hours   [][]byte
	forgets bool // summers may not know what earlier sums hold, as after a trim of the log
}

// summing is one summer; it trusts the sums that it has read.
type summing struct {
	summer      *SumBuilder
	next, hours int
}

// read adds the minute records from next to before until to ledger.
func (world *sumWorld) read(aggregator *Aggregator, next *int, until int) {
	for *next = max(*next, min(world.trimmed, until)); *next < until; *next++ {
		if batch, err := DecodeBatch(world.log[*next]); err == nil {
			aggregator.Add(batch, world.now)
		} else {
			aggregator.AddUnreadable()
		}
	}
}

// readSums follows the rule of package accountant.
func (world *sumWorld) readSums(aggregator *Aggregator, next, hours *int) {
	for ; *hours < len(world.hours); *hours++ {
		sum, err := DecodeSum(world.hours[*hours])
		if err != nil || int(sum.From()) < *next {
			continue
		}
		world.read(aggregator, next, int(sum.From()))
		if aggregator.AddSum(sum, world.now) {
			*next = int(sum.Next())
		} else {
			world.read(aggregator, next, int(sum.Next()))
		}
	}
}

// sum appends the sum of what a summer sees, which may be less than the log holds.
func (world *sumWorld) sum(summing *summing) {
	world.readSums(summing.summer.Aggregator, &summing.next, &summing.hours)
	if world.forgets && world.IntN(5) == 0 {
		summing.summer = NewSumBuilder()
	}
	from := max(summing.next, world.trimmed)
	until := len(world.log) - world.IntN(3)
	if until <= from {
		return
	}
	summing.summer.Begin(int64(from))
	for offset := from; offset < until; offset++ {
		summing.summer.AddRecord(int64(offset), world.log[offset], world.now)
	}
	sum, _ := summing.summer.Build(world.now)
	data, err := sum.Encode()
	if err != nil {
		panic(err)
	}
	for range 1 + world.IntN(2) { // the answer to the append was lost, and it was appended again
		world.hours = append(world.hours, data)
	}
	*summing = newSumming()
}

func newSumming() summing { return summing{summer: NewSumBuilder()} }

func (world *sumWorld) damage(records [][]byte) {
	if len(records) == 0 {
		return
	}
	index := world.IntN(len(records))
	damaged := append([]byte(nil), records[index]...)
	if world.IntN(2) == 0 {
		damaged = damaged[:world.IntN(len(damaged))]
	} else {
		damaged[world.IntN(len(damaged))] ^= 1 << world.IntN(8)
	}
	records[index] = damaged
}

// simulateSums plays the records of a simulation into a log while two summers sum it; records repeat, come late and
// are damaged before anybody reads them.
func simulateSums(seed uint64, steps int, forgets bool) (*sumWorld, *Aggregator) {
	world := &sumWorld{Rand: rand.New(rand.NewPCG(seed, 2)), now: testStart, forgets: forgets}
	naive := NewAggregator()
	naive.SetComplete(true)
	summers := []summing{newSumming(), newSumming()}
	var delayed [][]byte
	for i := range steps {
		world.now = testStart.Add(time.Duration(i) * 20 * time.Minute)
		for _, run := range []int{0, 1, 2} {
			data := world.batch(run, i)
			if world.IntN(6) == 0 {
				delayed = append(delayed, data)
				continue
			}
			world.log = append(world.log, data)
			if world.IntN(5) == 0 {
				delayed = append(delayed, data) // appended again after a lost answer, perhaps after a sum
			}
		}
		if len(delayed) > 0 && world.IntN(3) == 0 {
			world.log = append(world.log, delayed...)
			delayed = nil
		}
		if world.IntN(12) == 0 {
			world.damage(world.log[max(len(world.log)-1, 0):])
		}
		// Both summers may read before either appends, and so sum the same records.
		if world.IntN(8) == 0 {
			stale := len(world.hours)
			world.sum(&summers[0])
			if world.IntN(2) == 0 {
				appended := world.hours[stale:]
				world.hours = world.hours[:stale:stale]
				world.sum(&summers[1])
				world.hours = append(world.hours, appended...)
			}
		}
	}
	world.now = world.now.Add(time.Minute)
	for _, data := range world.log {
		if batch, err := DecodeBatch(data); err == nil {
			naive.Add(batch, world.now)
		} else {
			naive.AddUnreadable()
		}
	}
	return world, naive
}

// batch returns the record of one to seven minutes of one of three instances.
func (world *sumWorld) batch(run, step int) []byte {
	batch := Batch{domain: "local", instance: fmt.Sprint(run), incarnation: fmt.Sprintf("%d#%d", run, step/80)}
	batch.objectives = map[string]Objective{"check": {within: time.Second, percent: float64(90 + step%9)}}
	first := minuteOf(world.now) - 7
	for i := range 1 + world.IntN(7) {
		closed := closedMinute{minute: first + minute(i)}
		for team := range world.IntN(4) {
			counts := Counts{uint64(world.IntN(9)), uint64(world.IntN(3)), 0, uint64(world.IntN(2))}
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
		world, naive := simulateSums(seed, 250, seed%2 == 0)
		if seed%4 == 3 {
			world.damage(world.hours) // after other summers have built on it
		}
		aggregator, next, hours := NewAggregator(), 0, 0
		aggregator.SetComplete(true)
		world.readSums(aggregator, &next, &hours)
		used += next
		world.read(aggregator, &next, len(world.log))
		if got, want := aggregator.Report(world.now), naive.Report(world.now); !reflect.DeepEqual(got, want) {
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
		world, _ := simulateSums(seed, 150, false)
		world.trimmed = len(world.log) * 9 / 10
		dropped := int(seed) % 5
		world.hours = world.hours[min(dropped, len(world.hours)):]
		want, held := NewAggregator(), make(map[int]bool)
		for next, hours := 0, 0; hours < len(world.hours); hours++ {
			sum, err := DecodeSum(world.hours[hours])
			is.NoErr(err)
			if int(sum.From()) >= next {
				for next = int(sum.From()); next < int(sum.Next()); next++ {
					held[next] = true
				}
			}
		}
		for offset, data := range world.log {
			if batch, err := DecodeBatch(data); (held[offset] || offset >= world.trimmed) && err == nil {
				want.Add(batch, world.now)
			}
		}
		aggregator, next, hours := NewAggregator(), 0, 0
		world.readSums(aggregator, &next, &hours)
		world.read(aggregator, &next, len(world.log))
		report, bound := aggregator.Report(world.now), want.Report(world.now)
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
