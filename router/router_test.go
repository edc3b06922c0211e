package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reference is a simple model of the state of a router; it checks every target at every step.
type reference struct {
	targets  map[string]Target
	leaving  map[string]time.Time // time until which a snapshot does not revert MarkLeaving
	listed   map[string]bool      // whether the last snapshot listed the target as leaving
	inFlight map[*target]int
}

func newReference() *reference {
	return &reference{
		targets: make(map[string]Target), leaving: make(map[string]time.Time),
		listed: make(map[string]bool), inFlight: make(map[*target]int),
	}
}

func (reference *reference) update(targets []Target, now time.Time) {
	current := make(map[string]Target, len(targets))
	for _, target := range targets {
		current[target.name] = target
		if until, ok := reference.leaving[target.name]; ok && (reference.listed[target.name] || !now.Before(until)) {
			delete(reference.leaving, target.name)
		}
		reference.listed[target.name] = target.leaving
	}
	for name := range reference.targets {
		if _, ok := current[name]; !ok {
			// A target that appears later under the same name is a different one.
			delete(reference.leaving, name)
			delete(reference.listed, name)
		}
	}
	reference.targets = current
}

func (reference *reference) leave(name string, now time.Time) {
	if _, ok := reference.targets[name]; ok {
		reference.leaving[name] = now.Add(minLeavingInterval)
	}
}

func (reference *reference) isEligible(name string) bool {
	_, present := reference.targets[name]
	_, leaving := reference.leaving[name]
	return present && !leaving && !reference.listed[name]
}

// sequence applies the same random operations to a router and to the reference model.
type sequence struct {
	*testing.T
	random      *rand.Rand
	router      *Router
	reference   *reference
	now         time.Time
	openChoices []Choice
	picked      int
}

// candidates returns the targets that may take a task of kindID, without using the router's lists.
func (sequence *sequence) candidates(kindID int32) []*target {
	router, nanos := sequence.router, sequence.now.UnixNano()
	long := router.kinds[kindID].meanRunTime > router.meanRunTime
	ownSlots := false
	for name, target := range router.targets {
		ownSlots = ownSlots || sequence.reference.isEligible(name) && target.state == healthy && target.share > 0
	}
	var candidates []*target
	for name, target := range router.targets {
		limit := target.share
		if !router.config.DisableBorrowing && (!long || !ownSlots) {
			limit += int32(target.borrowLimit)
		}
		if sequence.reference.isEligible(name) && target.state == healthy && target.inFlight < limit && target.pausedUntil <= nanos {
			candidates = append(candidates, target)
		}
	}
	return candidates
}

// cheapest returns the candidates with the lowest cost, and whether any candidate is overdue.
func (sequence *sequence) cheapest(candidates []*target, kindID int32) ([]*target, bool) {
	var cheapest []*target
	lowest, anyOverdue := 0.0, false
	for _, candidate := range candidates {
		anyOverdue = anyOverdue || sequence.router.overdue(candidate, sequence.now.UnixNano())
		cost := expectedCompletion(sequence.router, candidate, kindID, sequence.now.UnixNano())
		if len(cheapest) == 0 || cost < lowest {
			cheapest, lowest = nil, cost
		}
		if cost == lowest {
			cheapest = append(cheapest, candidate)
		}
	}
	return cheapest, anyOverdue
}

func (sequence *sequence) pick() {
	kind := fmt.Sprint("kind-", sequence.random.IntN(3))
	kindID := sequence.router.kindID(kind)
	candidates := sequence.candidates(kindID)
	cheapest, anyOverdue := sequence.cheapest(candidates, kindID)
	ejected := slices.Clone(sequence.router.ejected)
	choice, ok := sequence.router.Pick(kind, sequence.now)
	_, least := sequence.router.config.Policy.(LeastExpectedCompletion)
	switch {
	case !ok && len(candidates) > 0 && !anyOverdue:
		sequence.Fatalf("no target was picked, %d have free capacity", len(candidates))
	case !ok:
		return
	case !sequence.reference.isEligible(choice.Name()):
		sequence.Fatalf("%s was picked, but is leaving or removed", choice.Name())
	case choice.trial && !slices.Contains(ejected, choice.target):
		sequence.Fatalf("%s was picked for a trial, but was not ejected", choice.Name())
	case !choice.trial && !slices.Contains(candidates, choice.target):
		sequence.Fatalf("%s was picked, but is ejected or has no free capacity", choice.Name())
	case least && !choice.trial && !anyOverdue && !slices.Contains(cheapest, choice.target):
		sequence.Fatalf("%s was picked, but does not have the least expected completion", choice.Name())
	}
	sequence.reference.inFlight[choice.target]++
	sequence.openChoices = append(sequence.openChoices, choice)
	sequence.picked++
}

func (sequence *sequence) done() {
	if len(sequence.openChoices) == 0 {
		return
	}
	i := sequence.random.IntN(len(sequence.openChoices))
	choice := sequence.openChoices[i]
	sequence.openChoices = slices.Delete(sequence.openChoices, i, i+1)
	var result Result = NewFinished(time.Duration(sequence.random.IntN(400)) * time.Millisecond)
	// Some targets fail, do not answer, reject tasks or are slow most of the time, so that ejections and returns occur.
	if class := int(choice.target.name[len(choice.target.name)-1] - '0'); class < 4 && sequence.random.IntN(10) > 0 {
		result = []Result{Failed{}, Lost{}, NewNotStarted(false), NewFinished(5 * time.Second)}[class]
	}
	if sequence.random.IntN(300) == 0 {
		result = NewNotStarted(true)
		if sequence.router.targets[choice.Name()] == choice.target {
			sequence.reference.leave(choice.Name(), sequence.now)
		}
	}
	sequence.router.Done(choice, result, sequence.now)
	sequence.reference.inFlight[choice.target]--
}

func (sequence *sequence) update() {
	var targets []Target
	for i := range 40 {
		if sequence.random.IntN(12) > 0 {
			targets = append(targets, NewTarget(fmt.Sprint("runner-", i), "address", 1+i%9, sequence.random.IntN(15) == 0))
		}
	}
	sequence.router.Update(targets, sequence.now)
	sequence.reference.update(targets, sequence.now)
}

func (sequence *sequence) leave() {
	name := fmt.Sprint("runner-", sequence.random.IntN(45))
	sequence.router.MarkLeaving(name, sequence.now)
	sequence.reference.leave(name, sequence.now)
}

// check compares the counts and lists of the router with the reference model.
func (sequence *sequence) check() {
	router := sequence.router
	if limit := len(sequence.reference.targets) * 3 / 10; len(router.ejected) > limit {
		sequence.Fatalf("%d targets are ejected, at most %d may be", len(router.ejected), limit)
	}
	var availableShare int32
	for name, target := range router.targets {
		if int(target.inFlight) != sequence.reference.inFlight[target] || target.inFlight < 0 {
			sequence.Fatalf("%s has %d tasks in flight, want %d", name, target.inFlight, sequence.reference.inFlight[target])
		}
		if router.config.DisableBorrowing && target.inFlight > target.share || int(target.inFlight) > target.slots {
			sequence.Fatalf("%s has %d tasks in flight, its share is %d of %d slots", name, target.inFlight, target.share, target.slots)
		}
		if eligible := sequence.reference.isEligible(name) && target.state == healthy; eligible {
			availableShare += target.share
			if hasCapacity := target.inFlight < router.inFlightLimit(target); hasCapacity != (target.targetList != nil) {
				sequence.Fatalf("%s has free capacity: %v, the lists say %v", name, hasCapacity, !hasCapacity)
			}
		}
	}
	if router.availableShare != availableShare || router.TasksInFlight() != len(sequence.openChoices) {
		sequence.Fatalf("available %d, want %d; in flight %d, want %d", router.availableShare, availableShare, router.TasksInFlight(), len(sequence.openChoices))
	}
}

// Guards against tasks for leaving or ejected targets, too many ejections, wrong counts, exceeded shares, and a
// choice that differs from that of a scan of all targets.
func TestRandomSequences(t *testing.T) {
	share := NewShare([]float64{2, 1, 1}, 0)
	for _, config := range []Config{
		{Share: share},
		{Share: share, DisableBorrowing: true},
		{Share: share, DisableEjection: true},
		{Share: share, Policy: RoundRobin{}, WastedMessageWeight: 1},
		{Share: share, Policy: LeastInFlight{}, ResponseTimeWeight: 1},
		{Share: share, Policy: PowerOfTwoChoices{}},
		{Share: share, Policy: Random{}},
	} {
		for seed := range uint64(4) {
			if testing.Short() && seed > 0 {
				break
			}
			config.Seed = seed
			sequence := &sequence{
				T: t, random: rand.New(rand.NewPCG(seed, 7)), router: New(config),
				reference: newReference(), now: time.Unix(1000, 0),
			}
			sequence.update()
			ejected := 0
			for range 10_000 {
				sequence.now = sequence.now.Add(time.Duration(sequence.random.IntN(4)) * time.Millisecond)
				switch draw := sequence.random.IntN(1000); {
				case draw < 2:
					sequence.update()
				case draw < 4:
					sequence.leave()
				case draw < 520:
					sequence.pick()
				default:
					sequence.done()
				}
				sequence.check()
				ejected = max(ejected, sequence.router.Ejected())
			}
			if sequence.picked < 2500 || (ejected > 0) == config.DisableEjection {
				t.Fatalf("seed %d: %d picks and up to %d ejected targets are too few or too many to test the rules", seed, sequence.picked, ejected)
			}
		}
	}
}

// Guards against shares of instances that overlap or leave slots unused.
func TestSharesAddUp(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		weights := make([]float64, 1+random.IntN(30))
		for i := range weights {
			weights[i] = 1 + float64(random.IntN(8))
		}
		target := NewTarget(fmt.Sprint("runner-", random.IntN(1000)), "address", 1+random.IntN(64), false)
		var sum int32
		for i := range weights {
			share := NewShare(weights, i).slotsOf(target)
			is.True(share >= 0)
			sum += share
		}
		is.Equal(int(sum), target.slots)
	}
}

// faultBehavior is the behavior of the faulty target in simulateFault.
type faultBehavior struct {
	name   string
	delay  time.Duration
	result Result
}

// simulateFault runs a load that leaves two slots free for three minutes, with one target that is faulty in the first
// half minute. It returns the fractions of all starts that this target got during and after the fault, and the
// largest number of ejected targets.
func simulateFault(config Config, faulty faultBehavior, others int) (duringFault, afterFault float64, maxEjected int) {
	const step, fault, length = 5 * time.Millisecond, 30 * time.Second, 3 * time.Minute
	router := New(config)
	begin := time.Unix(1000, 0)
	router.Update(snapshot(others+1, 4), begin)
	type pending struct {
		choice Choice
		end    time.Time
		result Result
	}
	var open []pending
	var faultyStarts, allStarts [2]float64
	for now := begin; now.Before(begin.Add(length)); now = now.Add(step) {
		open = slices.DeleteFunc(open, func(pending pending) bool {
			if now.Before(pending.end) {
				return false
			}
			router.Done(pending.choice, pending.result, now)
			return true
		})
		phase := min(1, int(now.Sub(begin)/fault))
		for len(open) < 4*others+2 {
			choice, ok := router.Pick("check", now)
			if !ok {
				break
			}
			allStarts[phase]++
			delay, result := 100*time.Millisecond, Result(NewFinished(100*time.Millisecond))
			if choice.Name() == "runner-00000" {
				faultyStarts[phase]++
				if phase == 0 {
					delay, result = faulty.delay, faulty.result
				}
			}
			open = append(open, pending{choice: choice, end: now.Add(delay), result: result})
		}
		maxEjected = max(maxEjected, router.Ejected())
	}
	return faultyStarts[0] / allStarts[0], faultyStarts[1] / allStarts[1], maxEjected
}

// Guards against targets that attract tasks by failing fast, that hold tasks by not answering or being slow, or that
// stay ejected after the fault.
func TestFaultyTargetsAreEjectedAndRestored(t *testing.T) {
	is := is.New(t)
	for _, fault := range []faultBehavior{
		{"fails at once", time.Millisecond, Failed{}},
		{"does not answer", 8 * time.Second, Lost{}},
		{"rejects", time.Millisecond, NewNotStarted(false)},
		{"is slow", 900 * time.Millisecond, NewFinished(900 * time.Millisecond)},
	} {
		for _, policy := range []Policy{LeastExpectedCompletion{}, RoundRobin{}, LeastInFlight{}, PowerOfTwoChoices{}, Random{}} {
			duringFault, afterFault, maxEjected := simulateFault(Config{Seed: 1, Policy: policy}, fault, 9)
			t.Logf("%T, %s: %.4f of the starts, then %.4f", policy, fault.name, duringFault, afterFault)
			is.True(duringFault < 0.01) // at most a tenth of an even fraction
			is.True(afterFault > 0.02)  // the target gets tasks again
			is.True(maxEjected <= 1)    // no healthy target is ejected
		}
	}
}

// Guards against an instance that ejects its targets although the tasks themselves are at fault.
func TestFailingKindEjectsFewTargets(t *testing.T) {
	is := is.New(t)
	router, now := New(Config{Seed: 1}), time.Unix(1000, 0)
	router.Update(snapshot(20, 4), now)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		choice, ok := router.Pick("bad", now)
		is.True(ok)
		router.Done(choice, Failed{}, now)
		is.True(i < 100 || router.Ejected() <= 6) // at most 30% of 20
	}
	now = now.Add(time.Hour)
	for range 20 * 4 {
		_, ok := router.Pick("good", now)
		is.True(ok) // every slot can still be used
	}
}

// Guards against the ejection of too many targets when they fail one after the other.
func TestEjectionBound(t *testing.T) {
	is := is.New(t)
	router, now := New(Config{Policy: RoundRobin{}}), time.Unix(1000, 0)
	router.Update(snapshot(20, 4), now)
	for i := range 12 {
		for range 400 {
			now = now.Add(time.Millisecond)
			choice, ok := router.Pick("check", now)
			is.True(ok)
			var result Result = NewFinished(time.Millisecond)
			if choice.Name() == fmt.Sprintf("runner-%05d", i) {
				result = Failed{}
			}
			router.Done(choice, result, now)
		}
		is.Equal(router.Ejected(), min(i+1, 6)) // 30% of 20
	}
}
