package arbiter

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// reportedShares is the number of shares whose use is reported one by one.
	reportedShares = 16
	// activeBits is the size of the bitmap from which the number of active shares is estimated.
	activeBits = 512
	// reportTTL is how long a report counts. A lost instance is detected within the same time.
	reportTTL = 500 * time.Millisecond
)

// Use is the capacity that a share requests at one instance.
type Use struct {
	Share Share
	// Demand is what its jobs request, in cores, Lasting the same over a longer time, and Spread the variance of the cores that they
	// use.
	Demand, Lasting, Spread float64
}

// Report is what an instance reports to the others on the shares of a service.
type Report struct {
	// Shares holds the largest uses.
	Shares []Use
	// Demand, Lasting, Squares and Spread are the totals of all shares, also of those that are not listed.
	Demand, Lasting, Squares, Spread float64
	// Step is the largest number of cores that a recent job has needed at once.
	Step float64
	// Active is a bitmap of the active shares.
	Active []byte
}

type receivedReport struct {
	Report
	until time.Time
}

// of returns what is reported of a share.
func (report *Report) of(id Share) sums {
	for _, use := range report.Shares {
		if use.Share == id {
			return sums{demand: use.Demand, lasting: use.Lasting, spread: use.Spread}
		}
	}
	return sums{}
}

func (report *Report) sums() sums {
	return sums{demand: report.Demand, lasting: report.Lasting, squares: report.Squares, spread: report.Spread}
}

// rest returns the lasting demand of the shares that are not listed.
func (report *Report) rest() float64 {
	rest := report.Lasting
	for _, use := range report.Shares {
		rest -= use.Lasting
	}
	return max(0, rest)
}

// Report returns a report to the other instances, or false while the service is not contended.
func (arbiter *Arbiter) Report(now time.Time) (Report, bool) {
	if !now.Before(arbiter.reportsUntil) {
		return Report{}, false
	}
	var report Report
	var total sums
	var active activeShares
	for _, id := range slices.Sorted(maps.Keys(arbiter.shares)) {
		share := arbiter.shares[id]
		if now.Sub(share.active) > activeTime {
			continue
		}
		own := share.averages.at(now, arbiter.age(now))
		total.add(own)
		report.Shares = append(report.Shares, Use{id, own.demand, own.lasting, own.spread})
		report.Step = max(report.Step, share.largest)
		active.add(id)
	}
	report.Demand, report.Lasting, report.Squares, report.Spread = total.demand, total.lasting, total.squares, total.spread
	slices.SortFunc(report.Shares, func(a, b Use) int { return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Share, b.Share)) })
	report.Shares = report.Shares[:min(len(report.Shares), reportedShares)]
	report.Active = active[:]
	return report, true
}

// HandleReport replaces the last report of another instance.
func (arbiter *Arbiter) HandleReport(owner string, report Report, now time.Time) {
	arbiter.reports[owner] = receivedReport{report, now.Add(reportTTL)}
}

// RemovePeer discards the report of a lost instance.
func (arbiter *Arbiter) RemovePeer(owner string) { delete(arbiter.reports, owner) }

func (arbiter *Arbiter) expireReports(now time.Time) {
	for owner, report := range arbiter.reports {
		if !now.Before(report.until) {
			delete(arbiter.reports, owner)
		}
	}
}

// activeShares is a bitmap that estimates a number of shares by linear counting.
type activeShares [activeBits / 8]byte

func (active *activeShares) add(id Share) {
	bit := uint64(id) % activeBits
	active[bit/8] |= 1 << (bit % 8)
}

func (active *activeShares) union(other []byte) {
	for i := range min(len(active), len(other)) {
		active[i] |= other[i]
	}
}

// count estimates the number of shares.
func (active *activeShares) count() int {
	set := 0
	for _, octet := range active {
		set += bits.OnesCount8(octet)
	}
	unset := max(1, activeBits-set)
	return int(math.Round(activeBits * math.Log(activeBits/float64(unset))))
}
