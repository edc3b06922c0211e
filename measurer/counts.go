package measurer

import (
	"math"
	"slices"
	"time"
)

// counts are the sums over the counted jobs of one or more runs.
type counts struct {
	slowdowns []float64 // response time divided by the ideal, of complete jobs
	lost      []float64 // time to the deadline divided by the ideal, of failed jobs
	failed    int
	refused   int
	cancelled int
	tasks     int
	messages  int // starts and their answers
	wasted    int // messages whose removal changes no answer
	notRun    []*job
	answered  []*job
}

func (counts *counts) start(job *job) {
	if job.counted {
		counts.messages++
	}
}

func (counts *counts) answer(job *job) { counts.start(job) }

func (counts *counts) waste(job *job, messages int) {
	if job.counted {
		counts.wasted += messages
	}
}

func (counts *counts) complete(job *job, at time.Time) {
	counts.note(job)
	if job.counted {
		counts.slowdowns = append(counts.slowdowns, float64(at.Sub(job.at))/float64(job.ideal()))
	}
}

func (counts *counts) fail(job *job) {
	counts.note(job)
	if job.counted {
		counts.failed++
		counts.lost = append(counts.lost, float64(job.deadline.Sub(job.at))/float64(job.ideal()))
	}
}

func (counts *counts) refuse(progress *progress) {
	counts.notRun = append(counts.notRun, progress.job)
	if progress.job.counted {
		counts.refused++
	}
}

func (counts *counts) cancel(progress *progress) {
	counts.notRun = append(counts.notRun, progress.job)
	if progress.job.counted {
		counts.cancelled++
	}
}

func (counts *counts) note(job *job) {
	counts.answered = append(counts.answered, job)
	if job.counted {
		counts.tasks += len(job.tasks)
	}
}

// add adds the sums of another run.
func (counts *counts) add(other counts) {
	counts.slowdowns = append(counts.slowdowns, other.slowdowns...)
	counts.lost = append(counts.lost, other.lost...)
	counts.failed += other.failed
	counts.refused += other.refused
	counts.cancelled += other.cancelled
	counts.tasks += other.tasks
	counts.messages += other.messages
	counts.wasted += other.wasted
	counts.notRun = append(counts.notRun, other.notRun...)
	counts.answered = append(counts.answered, other.answered...)
}

// Results are the results of one cell of the table.
type Results struct {
	// Mean and P99 are response times of complete jobs divided by their ideal.
	Mean, P99 float64
	// P99WithFailed counts failed jobs as well, as if they had been answered at their deadline.
	P99WithFailed float64
	// WastedPerThousand is the number of wasted messages per 1,000 tasks.
	WastedPerThousand float64
	// WastedRatio is the part of the messages that was wasted.
	WastedRatio float64
	// RefusedRatio and FailedPart are parts of the jobs that were not cancelled.
	RefusedRatio, FailedRatio float64
	// Cancelled is the number of jobs that were cancelled before their start.
	Cancelled int
	// StartedTwice and UntrueRefusals are the numbers of broken promises.
	StartedTwice, UntrueRefusals int
}

// figures returns the results that the sums give.
func (counts *counts) figures() Results {
	slices.Sort(counts.slowdowns)
	var sum float64
	for _, slowdown := range counts.slowdowns {
		sum += slowdown
	}
	complete := len(counts.slowdowns)
	jobs := float64(max(1, complete+counts.failed+counts.refused))
	results := Results{
		WastedPerThousand: 1000 * float64(counts.wasted) / float64(max(1, counts.tasks)),
		WastedRatio:       float64(counts.wasted) / float64(max(1, counts.messages)),
		RefusedRatio:      float64(counts.refused) / jobs,
		FailedRatio:       float64(counts.failed) / jobs,
		Cancelled:         counts.cancelled,
	}
	if complete > 0 {
		results.Mean = sum / float64(complete)
		results.P99 = quantile(counts.slowdowns)
		results.P99WithFailed = quantile(slices.Sorted(slices.Values(slices.Concat(counts.slowdowns, counts.lost))))
	}
	for _, job := range counts.answered {
		for _, starts := range job.starts {
			results.StartedTwice += max(0, starts-1)
		}
	}
	for _, job := range counts.notRun {
		if slices.Max(job.starts) > 0 {
			results.UntrueRefusals++
		}
	}
	return results
}

// quantile returns the 99th percentile of sorted, which must not be empty.
func quantile(sorted []float64) float64 {
	return sorted[int(math.Ceil(0.99*float64(len(sorted))))-1]
}
