package scheduler

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// packing simulates three schedulers, which exchange reports, claims and offers with a delay, on targets that accept what fits their
// true capacity. A tick is 250 us.
type packing struct {
	now             int
	events          map[int][]func()
	instances       []*Scheduler
	domains         []string
	targets         []Target
	used            map[string]int64
	random          *rand.Rand
	jobs            map[string]*packedJob
	rejected        int
	cutAt           int
	lastOut, lastIn int
	foreign         int
	starts          int
}

type packedJob struct {
	entry    int
	arrived  int
	latest   int
	size     int64
	accepted int
	cross    bool
}

const ticksPerMS = 4

func (packing *packing) at(tick int) time.Time {
	return origin.Add(time.Duration(tick) * 250 * time.Microsecond)
}

func (packing *packing) after(ticks int, event func()) {
	packing.events[packing.now+max(ticks, 1)] = append(packing.events[packing.now+max(ticks, 1)], event)
}

func (packing *packing) delay(a, b string) int {
	if a == b {
		return 1
	}
	return 4
}

func (packing *packing) index(id string) int {
	var number int
	_, _ = fmt.Sscanf(id, "t%d", &number)
	return number
}

func (packing *packing) reader(target int) int { return target % len(packing.instances) }

func (packing *packing) run(self int) {
	for _, action := range packing.instances[self].TakeActions() {
		switch action := action.(type) {
		case StartTask:
			packing.start(self, action)
		case WithdrawClaim:
			reader := packing.reader(packing.index(action.Target))
			// Messages between two instances arrive in order; claims and withdrawals wait a millisecond for a common frame.
			packing.after(packing.delay(packing.domains[self], packing.domains[reader])+4, func() {
				packing.instances[reader].HandlePeerWithdrawal(action.Target, action.Run, packing.at(packing.now))
				packing.run(reader)
			})
		case OfferCapacity:
			for to := range packing.instances {
				if name(to) == action.To && !(packing.cut() && (self == 0) != (to == 0)) {
					packing.after(packing.delay(packing.domains[self], packing.domains[to]), func() {
						packing.instances[to].HandlePeerReport(CapacityReport{Target: action.Target, Reporter: name(self), FreeCapacity: action.FreeCapacity}, packing.at(packing.now))
						packing.instances[to].Place(packing.at(packing.now))
						packing.run(to)
					})
				}
			}
		}
	}
}

func (packing *packing) start(self int, start StartTask) {
	scheduler, index := packing.instances[self], packing.index(start.Target)
	reader, target := packing.reader(index), packing.targets[index]
	toTarget := packing.delay(packing.domains[self], target.Domain)
	toReader := packing.delay(packing.domains[self], packing.domains[reader])
	if reader != self {
		packing.after(toReader+4, func() {
			packing.instances[reader].HandlePeerClaim(name(self), start.Claim, packing.at(packing.now))
			packing.run(reader)
		})
	}
	packing.starts++
	if target.Domain != packing.domains[self] {
		packing.foreign++
		if self == 0 {
			packing.lastOut = packing.now
		} else if target.Domain == packing.domains[0] {
			packing.lastIn = packing.now
		}
	}
	packing.after(toTarget, func() {
		job := packing.jobs[start.Job]
		answer := StartNoRoom
		if packing.used[target.ID]+start.Resources.MilliCores <= target.Capacity.MilliCores {
			answer = StartTaken
			packing.used[target.ID] += start.Resources.MilliCores
			job.accepted, job.cross = packing.now, target.Domain != packing.domains[self]
			ticks := int(float64(start.Estimate/(250*time.Microsecond)) * (0.85 + 0.3*packing.random.Float64()))
			packing.after(ticks, func() {
				packing.used[target.ID] -= start.Resources.MilliCores
				end := End{Run: start.Run, Cause: Done, Incarnation: 1}
				packing.after(packing.delay(packing.domains[reader], target.Domain), func() {
					packing.instances[reader].HandleEnd(target.ID, end, packing.at(packing.now))
					packing.run(reader)
					if reader != self {
						packing.after(toReader, func() {
							scheduler.HandleEnd(target.ID, end, packing.at(packing.now))
							packing.run(self)
						})
					}
				})
			})
		} else {
			packing.rejected++
		}
		packing.after(toTarget, func() {
			scheduler.HandleStartResult(target.ID, start.Run, answer, packing.at(packing.now))
			packing.run(self)
		})
	})
}

func (packing *packing) report(self int) {
	reports, demand, sent := packing.instances[self].DueReports(packing.at(packing.now)), packing.instances[self].Demand(), packing.now
	for _, id := range packing.instances[self].Targets() {
		if packing.reader(packing.index(id)) == self {
			if report, due := packing.instances[self].RenewalReport(id, packing.at(packing.now)); due {
				reports = append(reports, report)
			}
		}
	}
	for other, scheduler := range packing.instances {
		if other == self || packing.cut() && (self == 0) != (other == 0) {
			continue
		}
		packing.after(packing.delay(packing.domains[self], packing.domains[other]), func() {
			scheduler.RecordBroadcast(name(self), packing.at(sent))
			scheduler.HandlePeerDemand(name(self), demand)
			for _, report := range reports {
				report.Reporter = name(self)
				scheduler.HandlePeerReport(report, packing.at(packing.now))
			}
			scheduler.Place(packing.at(packing.now))
			packing.run(other)
		})
	}
}

// kinds of tasks, by the share of the core-seconds.
type packedKind struct {
	share    float64
	size     func(*rand.Rand) int64
	estimate func(*rand.Rand) int
}

func defaultKinds() []packedKind {
	estimate := func(random *rand.Rand) int { return 80 + random.IntN(120) }
	return []packedKind{
		{0.80, func(random *rand.Rand) int64 { return 6400 + random.Int64N(3200) }, estimate},
		{0.10, func(*rand.Rand) int64 { return 1000 }, estimate},
		{0.10, func(*rand.Rand) int64 { return 20000 }, estimate},
	}
}

type packingLoad struct {
	load    float64
	domains []string  // of the instances
	shares  []float64 // of the load by instance
	targets []int64   // cores, in the order of instances
	kinds   []packedKind
	seconds int
}

func (packing *packing) cut() bool { return packing.cutAt > 0 && packing.now >= packing.cutAt }

var cutAtMS int

// Measures with SPILL=1 when an instance that is cut off ceases to start on targets of other failure domains.
func TestCutTrial(t *testing.T) {
	if os.Getenv("SPILL") == "" {
		t.Skip()
	}
	cutAtMS = 4000
	defer func() { cutAtMS = 0 }()
	for seed := range uint64(5) {
		kinds := []packedKind{{1, func(random *rand.Rand) int64 { return 3200 + random.Int64N(1600) }, func(random *rand.Rand) int { return 80 + random.IntN(120) }}}
		p := simulatePacking(seed, packingLoad{0.9, []string{"a", "b", "c"}, []float64{0.38, 0.31, 0.31}, slices.Repeat([]int64{32}, 9), kinds, 6})
		t.Logf("last start out of a %d ms after the cut, into a %d ms", (p.lastOut-p.cutAt)/ticksPerMS, (p.lastIn-p.cutAt)/ticksPerMS)
	}
}

func simulatePacking(seed uint64, load packingLoad) *packing {
	packing := &packing{
		events: make(map[int][]func()), used: make(map[string]int64), domains: load.domains, jobs: make(map[string]*packedJob),
		random: rand.New(rand.NewPCG(seed, 7)), cutAt: cutAtMS * ticksPerMS,
	}
	capacity := int64(0)
	for number, cores := range load.targets {
		target := testTarget(number)
		target.Domain = load.domains[number%len(load.domains)]
		target.Capacity = Resources{MilliCores: cores * 1000, MemoryMB: 1 << 20}
		packing.targets = append(packing.targets, target)
		capacity += target.Capacity.MilliCores
	}
	for self, domain := range load.domains {
		packing.instances = append(packing.instances, New(name(self), domain))
	}
	for self, scheduler := range packing.instances {
		scheduler.SetTargets(packing.targets, at(0))
		for number, target := range packing.targets {
			if reader := packing.reader(number); reader == self {
				readIdle(scheduler, target.ID, -2000)
			} else {
				scheduler.AttachReader(target.ID, name(reader), at(-2000))
				scheduler.targets[target.ID].reportAwaitedUntil = at(0)
			}
		}
	}
	random := rand.New(rand.NewPCG(seed, 0))
	arrivals := make([]float64, len(load.kinds)*len(load.domains))
	rates := make([]float64, len(arrivals)) // per tick
	for k, kind := range load.kinds {
		mean, n := 0.0, 4000
		probe := rand.New(rand.NewPCG(1, 1))
		for range n {
			mean += float64(kind.size(probe)) * float64(kind.estimate(probe)) * ticksPerMS / float64(n)
		}
		for self := range load.domains {
			rates[k*len(load.domains)+self] = load.load * float64(capacity) * kind.share * load.shares[self] / mean
			arrivals[k*len(load.domains)+self] = random.ExpFloat64() / rates[k*len(load.domains)+self]
		}
	}
	end := load.seconds * 1000 * ticksPerMS
	for ; packing.now < end; packing.now++ {
		for _, event := range packing.events[packing.now] {
			event()
		}
		delete(packing.events, packing.now)
		for i := range arrivals {
			for arrivals[i] <= float64(packing.now) {
				arrivals[i] += random.ExpFloat64() / rates[i]
				kind, self := load.kinds[i/len(load.domains)], i%len(load.domains)
				packing.submit(self, kind.size(random), kind.estimate(random))
			}
		}
		for self, scheduler := range packing.instances {
			if (packing.now+16*self)%48 == 0 {
				packing.report(self)
			}
			if packing.now%20 == 0 {
				scheduler.Tick(packing.at(packing.now))
				scheduler.ExpireOffers(packing.at(packing.now))
				if packing.now%400 == 0 {
					scheduler.Sweep(packing.at(packing.now))
				}
				packing.run(self)
			}
		}
	}
	return packing
}

func (packing *packing) submit(self int, size int64, estimate int) {
	id := fmt.Sprintf("j%d", len(packing.jobs))
	job := testJob(id, 1, estimate, 0)
	job.Steps[0].Resources = Resources{MilliCores: size, MemoryMB: 64}
	now := packing.at(packing.now)
	job.Arrived, job.Deadline, job.Objective = now, now.Add(3*time.Second), now.Add(time.Duration(estimate*8/5+60)*time.Millisecond)
	packing.jobs[id] = &packedJob{entry: self, arrived: packing.now, latest: packing.now + (estimate*3/5+60)*ticksPerMS, size: size}
	packing.instances[self].Submit(job, now)
	packing.run(self)
}

type packedResult struct {
	arrived, inTime int
	waits           []int
	cross           int
}

func (packing *packing) result(seconds int, of func(*packedJob) bool) packedResult {
	var result packedResult
	for _, job := range packing.jobs {
		if job.arrived < 1000*ticksPerMS || job.arrived >= (seconds*1000-500)*ticksPerMS || !of(job) {
			continue
		}
		result.arrived++
		if job.accepted > 0 {
			result.waits = append(result.waits, job.accepted-job.arrived)
			if job.cross {
				result.cross++
			}
		}
		if job.accepted > 0 && job.accepted <= job.latest {
			result.inTime++
		}
	}
	slices.Sort(result.waits)
	return result
}

func (result packedResult) quantile(q float64) float64 {
	if len(result.waits) == 0 {
		return 0
	}
	return float64(result.waits[int(q*float64(len(result.waits)-1))]) / ticksPerMS
}

func mixedTargets() []int64 {
	var targets []int64
	for i := range 18 {
		if i%9 < 6 {
			targets = append(targets, 16)
		} else {
			targets = append(targets, 24)
		}
	}
	return targets
}

// Measures choices by remaining capacity against the present one. PACKING=1 runs all variants, a list of names some; SEEDS="10 10" sets
// the first seed and the number of seeds.
func TestPackingTrial(t *testing.T) {
	if os.Getenv("PACKING") == "" {
		t.Skip()
	}
	const seconds = 12
	type variant struct {
		name string
		set  func()
	}
	off := func() { trialPacking.on = false }
	on := func(mode int, ms int, share float64, reserve bool) func() {
		return func() {
			trialPacking.on, trialPacking.mode = true, mode
			trialPacking.tolerance, trialPacking.share, trialPacking.reserve = time.Duration(ms)*time.Millisecond, share, reserve
		}
	}
	dedicated := func(ids ...string) func() {
		return func() {
			trialPacking.on, trialPacking.dedicated = false, map[string]bool{}
			for _, id := range ids {
				trialPacking.dedicated[id] = true
			}
		}
	}
	weight := func(w float64) func() { return func() { trialPacking.on, trialPacking.weight = false, w } }
	variants := []variant{
		{"present", off},
		{"value", on(0, 8, 0.3, false)},
		{"value, held", on(0, 8, 0.3, true)},
		{"best fit", on(1, 8, 0.3, false)},
		{"fits typical", on(3, 8, 0.3, false)},
		{"large last", on(4, 8, 0.3, false)},
		{"fits, large last", on(2, 8, 0.3, false)},
		{"two dedicated", dedicated("t6", "t15")},
		{"weight 0.3", weight(0.3)},
		{"weight 1", weight(1)},
		{"weight 3", weight(3)},
	}
	var only []string
	if os.Getenv("PACKING") != "1" {
		only = strings.Split(os.Getenv("PACKING"), ",")
	}
	first, seeds := uint64(0), uint64(5)
	_, _ = fmt.Sscan(os.Getenv("SEEDS"), &first, &seeds)
	kinds := defaultKinds()
	domains, shares := []string{"a", "a", "a"}, []float64{1. / 3, 1. / 3, 1. / 3}
	for _, load := range []float64{0.8, 0.9, 1.0, 1.2} {
		base := make(map[uint64]float64)
		for _, v := range variants {
			if only != nil && !slices.Contains(only, v.name) {
				continue
			}
			trialPacking.dedicated, trialPacking.weight = nil, 0
			v.set()
			var rates, gains, larges, typicals, cores, mean, p95 []float64
			rejected, starts := 0, 0
			for seed := first; seed < first+seeds; seed++ {
				p := simulatePacking(seed, packingLoad{load, domains, shares, mixedTargets(), kinds, seconds})
				all := p.result(seconds, func(*packedJob) bool { return true })
				rate := func(of func(*packedJob) bool) float64 {
					r := p.result(seconds, of)
					return float64(r.inTime) / float64(max(r.arrived, 1))
				}
				sum := 0.0
				p.result(seconds, func(j *packedJob) bool {
					if j.accepted > 0 && j.accepted <= j.latest {
						sum += float64(j.size) / 1000 / (seconds - 1.5)
					}
					return true
				})
				cores = append(cores, sum)
				perSecond := float64(all.inTime) / (seconds - 1.5)
				if v.name == "present" {
					base[seed] = perSecond
				}
				gains = append(gains, perSecond-base[seed])
				rates = append(rates, perSecond)
				larges = append(larges, rate(func(j *packedJob) bool { return j.size > 16000 }))
				typicals = append(typicals, rate(func(j *packedJob) bool { return j.size > 2000 && j.size < 16000 }))
				total := 0
				for _, wait := range all.waits {
					total += wait
				}
				mean = append(mean, float64(total)/float64(len(all.waits))/ticksPerMS)
				p95 = append(p95, all.quantile(0.95))
				rejected, starts = rejected+p.rejected, starts+p.starts
			}
			t.Logf("%.1f %-17s in time/s %s gain %s cores/s %s | large %s typical %s | mean %s p95 %s | rejected %.3f",
				load, v.name, summary(rates, 1), summary(gains, 1), summary(cores, 0), summary(larges, 2), summary(typicals, 3), summary(mean, 1), summary(p95, 0), float64(rejected)/float64(starts))
		}
	}
}

// Measures the spillover of uneven load between failure domains with SPILL=1.
func TestSpilloverTrial(t *testing.T) {
	if os.Getenv("SPILL") == "" {
		t.Skip()
	}
	trialPacking.on, trialPacking.weight, trialPacking.dedicated = false, 0, nil
	const seconds = 8
	estimate := func(random *rand.Rand) int { return 80 + random.IntN(120) }
	mixes := []struct {
		name    string
		targets []int64
		kinds   []packedKind
	}{
		{"4 of 32", slices.Repeat([]int64{32}, 9), []packedKind{{1, func(random *rand.Rand) int64 { return 3200 + random.Int64N(1600) }, estimate}}},
		{"8 of 32", slices.Repeat([]int64{32}, 18), []packedKind{{1, func(random *rand.Rand) int64 { return 6400 + random.Int64N(3200) }, estimate}}},
	}
	variants := []struct {
		name      string
		one       bool
		cross     time.Duration
		threshold float64
		even      bool
		ownFirst  bool
	}{
		{"present", false, crossDomainCost, 0, false, false},
		{"present, even load", false, crossDomainCost, 0, true, false},
		{"one instance", true, crossDomainCost, 0, false, false},
		{"cross 2 ms", false, 2 * time.Millisecond, 0, false, false},
		{"cross 0 ms", false, 0, 0, false, false},
		{"early below 5%", false, crossDomainCost, 0.05, false, false},
		{"early below 10%", false, crossDomainCost, 0.1, false, false},
		{"early below 20%", false, crossDomainCost, 0.2, false, false},
		{"own first", false, crossDomainCost, 0, false, true},
		{"own first, even load", false, crossDomainCost, 0, true, true},
	}
	first, seeds := uint64(0), uint64(5)
	_, _ = fmt.Sscan(os.Getenv("SEEDS"), &first, &seeds)
	for _, mix := range mixes {
		for _, load := range []float64{0.8, 0.9, 1.0} {
			base := make(map[uint64]float64)
			for _, v := range variants {
				trialSpill.cross, trialSpill.threshold, trialSpill.ownFirst = v.cross, v.threshold, v.ownFirst
				domains, shares := []string{"a", "b", "c"}, []float64{0.38, 0.31, 0.31}
				if v.even {
					shares = []float64{1. / 3, 1. / 3, 1. / 3}
				}
				if v.one {
					domains, shares = []string{"a"}, []float64{1}
				}
				var rates, gains []float64
				shareOf, meanOf, p95Of, crossOf := make([][]float64, 3), make([][]float64, 3), make([][]float64, 3), make([][]float64, 3)
				rejected, starts := 0, 0
				for seed := first; seed < first+seeds; seed++ {
					p := simulatePacking(seed, packingLoad{load, domains, shares, mix.targets, mix.kinds, seconds})
					all := p.result(seconds, func(*packedJob) bool { return true })
					perSecond := float64(all.inTime) / (seconds - 1.5)
					if v.name == "present" {
						base[seed] = perSecond
					}
					rates, gains = append(rates, perSecond), append(gains, perSecond-base[seed])
					for d := range domains {
						r := p.result(seconds, func(j *packedJob) bool { return j.entry == d })
						total := 0
						for _, wait := range r.waits {
							total += wait
						}
						shareOf[d] = append(shareOf[d], float64(r.inTime)/float64(r.arrived))
						meanOf[d] = append(meanOf[d], float64(total)/float64(len(r.waits))/ticksPerMS)
						p95Of[d] = append(p95Of[d], r.quantile(0.95))
						crossOf[d] = append(crossOf[d], float64(r.cross)/float64(len(r.waits)))
					}
					rejected, starts = rejected+p.rejected, starts+p.starts
				}
				line := fmt.Sprintf("%s %.1f %-15s in time/s %s gain %s rejected %.3f", mix.name, load, v.name, summary(rates, 0), summary(gains, 1), float64(rejected)/float64(starts))
				for d := range domains {
					line += fmt.Sprintf(" | %s in time %s mean %s p95 %s cross %s", domains[d], summary(shareOf[d], 3), summary(meanOf[d], 1), summary(p95Of[d], 0), summary(crossOf[d], 2))
				}
				t.Log(line)
			}
		}
	}
}

func summary(values []float64, digits int) string {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return fmt.Sprintf("%.*f (%.*f-%.*f)", digits, sum/float64(len(values)), digits, slices.Min(values), digits, slices.Max(values))
}
