package arbiter

import (
	"math"
	"time"
)

// sums are averages over the jobs of one or more shares.
type sums struct {
	// demand is what the jobs request, in core-seconds per second, and lasting the same over a longer time.
	demand, lasting float64
	// squares is the sum of the squared core-seconds of the jobs per second, and spread the variance of the cores that they use if they
	// arrive independently of each other.
	squares, spread float64
}

func (sums *sums) add(other sums) {
	sums.demand += other.demand
	sums.lasting += other.lasting
	sums.squares += other.squares
	sums.spread += other.spread
}

// averages are moving averages over the jobs of a share.
type averages struct {
	sums    sums
	updated time.Time
}

func (averages *averages) record(job *Job, now time.Time) {
	averages.decay(now)
	averages.sums.add(sums{
		demand:  job.CoreSeconds / averagingTime.Seconds(),
		lasting: job.CoreSeconds / lastingTime.Seconds(),
		squares: job.CoreSeconds * job.CoreSeconds / averagingTime.Seconds(),
		spread:  job.Cores * job.CoreSeconds / averagingTime.Seconds(),
	})
}

func (averages *averages) decay(now time.Time) {
	if !now.After(averages.updated) {
		return
	}
	elapsed := now.Sub(averages.updated).Seconds()
	factor, lastingFactor := math.Exp(-elapsed/averagingTime.Seconds()), math.Exp(-elapsed/lastingTime.Seconds())
	averages.sums.demand *= factor
	averages.sums.squares *= factor
	averages.sums.spread *= factor
	averages.sums.lasting *= lastingFactor
	averages.updated = now
}

// at returns the averages, corrected for the age of the arbiter: they begin at zero.
func (averages *averages) at(now time.Time, age time.Duration) sums {
	averages.decay(now)
	factor := 1 / (1 - math.Exp(-age.Seconds()/averagingTime.Seconds()))
	lastingFactor := 1 / (1 - math.Exp(-age.Seconds()/lastingTime.Seconds()))
	return sums{
		demand: averages.sums.demand * factor, lasting: averages.sums.lasting * lastingFactor,
		squares: averages.sums.squares * factor, spread: averages.sums.spread * factor,
	}
}
