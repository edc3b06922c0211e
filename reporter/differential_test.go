package reporter

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// naiveEvent is one counted answer.
type naiveEvent struct {
	incarnation string
	minute      minute
	series      Series
	class       Class
}

// naive is a simple reference implementation that stores every counted answer. Of the answers to a key, it counts the
// first one that the owner decided on, and the first one of each incarnation that was given without the owner.
type naive struct {
	events    []naiveEvent
	counted   map[string]bool
	unclaimed map[string]bool
	appended  map[string]map[minute]bool // minutes in the log, by incarnation
	instances []*naiveInstance
}

// naiveInstance is one incarnation of a simulated instance.
type naiveInstance struct {
	name, incarnation string
	reporter          *Reporter
	begin, end        minute // end is 0 as long as no end is known
	final             bool
}

func (naive *naive) record(instance *naiveInstance, key string, series Series, class Class, at minute) {
	local := instance.incarnation + " " + key
	if class == Unclaimed {
		if naive.unclaimed[local] || naive.counted[local] {
			return
		}
		naive.unclaimed[local] = true
	} else {
		if naive.counted[key] {
			return
		}
		naive.counted[key], naive.counted[local] = true, true
	}
	naive.events = append(naive.events, naiveEvent{incarnation: instance.incarnation, minute: at, series: series, class: class})
}

// counts returns the answers of series in [from, to) whose minutes are in the log.
func (naive *naive) counts(series Series, from, to minute) Counts {
	var counts Counts
	for _, event := range naive.events {
		matches := event.series == series || (series.Team == "" && event.series.Kind == series.Kind)
		if matches && event.minute >= from && event.minute < to && naive.appended[event.incarnation][event.minute] {
			counts[event.class]++
		}
	}
	return counts
}

// completeness counts the minutes in [from, to) one by one for each incarnation.
func (naive *naive) completeness(from, to minute) completeness {
	var completeness completeness
	for at := from; at < to; at++ {
		before, present := true, false
		for _, instance := range naive.instances {
			minutes := naive.appended[instance.incarnation]
			if len(minutes) == 0 {
				continue // The log has no record of it.
			}
			before = before && at < instance.begin
			if at < instance.begin || (instance.end != 0 && at >= instance.end) {
				continue
			}
			present = true
			completeness.expected++
			if minutes[at] {
				completeness.covered++
			}
		}
		if !present && !before {
			completeness.expected++
		}
	}
	return completeness
}

// simulation is a random schedule of answers by several instances, with the log to which they append and the reference
// implementation.
type simulation struct {
	*rand.Rand
	naive     naive
	now       time.Time
	instances []*naiveInstance
	keys      map[string]*naiveInstance // owner by key
	log       [][]byte
	serial    int // makes the names of keys and incarnations unique
}

var simulatedObjectives = map[string]Objective{"check": {within: 500 * time.Millisecond, percent: 99}}

func (simulation *simulation) start(name string) *naiveInstance {
	simulation.serial++
	instance := &naiveInstance{name: name, incarnation: fmt.Sprintf("%s#%d", name, simulation.serial), begin: minuteOf(simulation.now)}
	instance.reporter = New(Config{
		Domain: "local", Instance: name, Incarnation: instance.incarnation, Objectives: simulatedObjectives,
		// Longer than any schedule, because naive keeps keys without limit and the reporter only for the retention
		// period.
		Retention: 365 * 24 * time.Hour, MaxKeys: 1 << 20, MaxSeries: 1024,
	}, simulation.now)
	simulation.naive.instances = append(simulation.naive.instances, instance)
	return instance
}

// answer records one answer to a new or a used key through a random instance.
func (simulation *simulation) answer() {
	instance := simulation.instances[simulation.IntN(len(simulation.instances))]
	key, owner := fmt.Sprintf("key-%d", simulation.serial), simulation.instances[simulation.IntN(len(simulation.instances))]
	simulation.serial++
	if simulation.IntN(3) == 0 {
		// Sorted, because with the order of a map the schedule of a seed would differ from run to run.
		if known := slices.Sorted(maps.Keys(simulation.keys)); len(known) > 0 {
			key = known[simulation.IntN(len(known))]
			owner = simulation.keys[key]
		}
	}
	simulation.keys[key] = owner
	grant := KeyOwner
	switch {
	case instance != owner && simulation.IntN(8) == 0:
		grant = Undecided
	case instance != owner && owner.reporter.GrantCount(key, instance.incarnation, simulation.now):
		grant = Granted
	case instance != owner:
		grant = Denied
	}
	outcomes := []dispatcher.Outcome{dispatcher.Complete{}, dispatcher.Complete{}, dispatcher.Failed{}, dispatcher.Refused{}, dispatcher.Unknown{}}
	class, latency := []Class{Good, Late, Failed, Refused, Unknown}[simulation.IntN(5)], time.Millisecond
	outcome := outcomes[class]
	series := Series{Kind: []string{"check", "plain"}[simulation.IntN(2)], Team: fmt.Sprintf("team-%d", simulation.IntN(3))}
	if class == Late {
		latency = 501 * time.Millisecond
		if series.Kind == "plain" {
			class = Good // A kind without an objective has no late answers.
		}
	}
	if grant == Undecided {
		class = Unclaimed
	}
	instance.reporter.Record(NewAnswer(dispatcher.NewJob(key, series.Kind, series.Team, time.Time{}, nil), outcome, latency, grant), simulation.now)
	simulation.naive.record(instance, key, series, class, minuteOf(simulation.now))
}

// flush appends one batch to the log, which may be down or lose its response.
func (simulation *simulation) flush(instance *naiveInstance, final bool) {
	batch, ok := instance.reporter.Batch(simulation.now, final)
	if !ok || (!final && simulation.IntN(4) == 0) {
		return // nothing to append, or the log is down
	}
	data, err := batch.Encode()
	if err != nil {
		panic(err)
	}
	simulation.log = append(simulation.log, data)
	for _, closed := range batch.minutes {
		if simulation.naive.appended[instance.incarnation] == nil {
			simulation.naive.appended[instance.incarnation] = make(map[minute]bool)
		}
		simulation.naive.appended[instance.incarnation][closed.minute] = true
	}
	if batch.final {
		instance.final, instance.end = true, batch.minutes[len(batch.minutes)-1].minute+1
	}
	if simulation.IntN(4) != 0 { // otherwise the response to the append is lost
		instance.reporter.Acknowledge(batch)
	}
}

// restart replaces one incarnation after a planned stop or a crash.
func (simulation *simulation) restart() {
	index := simulation.IntN(len(simulation.instances))
	old := simulation.instances[index]
	if simulation.IntN(2) == 0 {
		simulation.flush(old, true)
	}
	simulation.now = simulation.now.Add(time.Minute)
	simulation.instances[index] = simulation.start(old.name)
	if !old.final {
		old.end = simulation.instances[index].begin
	}
	for key, owner := range simulation.keys {
		if owner == old {
			delete(simulation.keys, key) // The grants of a crashed owner are lost; see the package comment.
		}
	}
}

// simulate returns the simulation of a random schedule of answers, restarts, and appends to the log.
func simulate(seed uint64) *simulation {
	simulation := &simulation{
		Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), keys: make(map[string]*naiveInstance),
		naive: naive{counted: make(map[string]bool), unclaimed: make(map[string]bool), appended: make(map[string]map[minute]bool)},
	}
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		simulation.instances = append(simulation.instances, simulation.start(name))
	}
	for range 700 {
		step := time.Duration(simulation.IntN(40)) * time.Second
		if simulation.IntN(30) == 0 {
			step = time.Duration(simulation.IntN(9*60)) * time.Minute
		}
		if simulation.now = simulation.now.Add(step); simulation.IntN(60) == 0 {
			simulation.restart()
		}
		if simulation.IntN(5) == 0 {
			simulation.flush(simulation.instances[simulation.IntN(len(simulation.instances))], false)
		}
		simulation.answer()
	}
	for range 3 { // answers after the end of every window, which must not evict its first minutes
		simulation.answer()
		simulation.now = simulation.now.Add(time.Minute)
		for _, instance := range simulation.instances {
			simulation.flush(instance, false)
		}
	}
	return simulation
}

// Guards against answers that are counted twice or not at all, and against missing minutes that are shown as covered,
// in every window. Causes are resubmissions, records that are appended twice, and records in any order.
func TestReportAgainstNaive(t *testing.T) {
	for seed := range uint64(60) {
		is := is.New(t)
		simulation := simulate(seed)
		aggregator := NewAggregator()
		aggregator.SetComplete(true)
		for _, twice := range []bool{false, true} {
			for _, index := range simulation.Perm(len(simulation.log)) {
				if batch, err := DecodeBatch(simulation.log[index]); !twice || index%3 == 0 {
					is.NoErr(err)
					aggregator.Add(batch, simulation.now)
				}
			}
		}
		// If the next incarnation has no record in the log, the end of the previous one is not known.
		for i, instance := range simulation.naive.instances {
			for _, next := range simulation.naive.instances[i+1:] {
				if next.name == instance.name && !instance.final && instance.end == next.begin && len(simulation.naive.appended[next.incarnation]) == 0 {
					instance.end = next.end
				}
			}
		}
		report := aggregator.Report(simulation.now)
		to := minuteOf(simulation.now) - reportLagMinutes
		for i, window := range windows {
			from := windowStart(window, to)
			naiveCompleteness := simulation.naive.completeness(from, to)
			if report.Coverage[i].ExpectedMinutes != naiveCompleteness.expected || report.Coverage[i].CoveredMinutes != naiveCompleteness.covered {
				t.Errorf("seed %d, window %v: coverage is %+v, naive %+v", seed, window, report.Coverage[i], naiveCompleteness)
			}
			for _, row := range report.Rows {
				counts, burn := simulation.naive.counts(Series{row.Kind, row.Team}, from, to), row.Burns[i]
				got := Counts{burn.Answers - burn.Bad(), burn.Late, burn.Failed, burn.Refused, burn.Unknown, burn.Unclaimed}
				if got != counts {
					t.Errorf("seed %d, window %v, %s: counts are %v, naive %v", seed, window, row.title(), got, counts)
				}
			}
		}
		is.Equal(len(report.Rows), 8) // two kinds with three teams each
	}
}
