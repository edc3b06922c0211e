package measurer

import (
	"math"
	"slices"
	"time"
)

// counts holds the sums over the counted jobs of one or more runs.
type counts struct {
	slowdowns       []float64 // response time divided by the ideal, of complete jobs
	failedSlowdowns []float64 // time to the deadline divided by the ideal, of failed jobs
	failed          int
	refused         int
	cancelled       int
	tasks           int
	messages        int    // starts and their answers
	wasted          int    // messages without which every answer would be the same
	notRun          []*job // refused and cancelled jobs, including those that are not counted
	answered        []*job // complete and failed jobs, including those that are not counted
}

func (counts *counts) recordStart(job *job) {
	if job.counted {
		counts.messages++
	}
}

func (counts *counts) recordAnswer(job *job) { counts.recordStart(job) }

func (counts *counts) recordWaste(job *job, messages int) {
	if job.counted {
		counts.wasted += messages
	}
}

func (counts *counts) recordComplete(job *job, answeredAt time.Time) {
	counts.recordAnswered(job)
	if job.counted {
		counts.slowdowns = append(counts.slowdowns, float64(answeredAt.Sub(job.submittedAt))/float64(job.idealResponseTime()))
	}
}

func (counts *counts) recordFailed(job *job) {
	counts.recordAnswered(job)
	if job.counted {
		counts.failed++
		counts.failedSlowdowns = append(counts.failedSlowdowns, float64(job.deadline.Sub(job.submittedAt))/float64(job.idealResponseTime()))
	}
}

func (counts *counts) recordRefused(progress *progress) {
	counts.notRun = append(counts.notRun, progress.job)
	if progress.job.counted {
		counts.refused++
	}
}

func (counts *counts) recordCancelled(progress *progress) {
	counts.notRun = append(counts.notRun, progress.job)
	if progress.job.counted {
		counts.cancelled++
	}
}

func (counts *counts) recordAnswered(job *job) {
	counts.answered = append(counts.answered, job)
	if job.counted {
		counts.tasks += len(job.tasks)
	}
}

// add adds the counts of another run.
func (counts *counts) add(other counts) {
	counts.slowdowns = append(counts.slowdowns, other.slowdowns...)
	counts.failedSlowdowns = append(counts.failedSlowdowns, other.failedSlowdowns...)
	counts.failed += other.failed
	counts.refused += other.refused
	counts.cancelled += other.cancelled
	counts.tasks += other.tasks
	counts.messages += other.messages
	counts.wasted += other.wasted
	counts.notRun = append(counts.notRun, other.notRun...)
	counts.answered = append(counts.answered, other.answered...)
}

// Results holds the results of one variant under one load.
type Results struct {
	// Mean and P99 are the mean and 99th percentile of the response times of complete jobs divided by their ideal
	// response times.
	Mean, P99 float64
	// P99WithFailed is P99 with failed jobs included, as if they had been answered at their deadlines.
	P99WithFailed float64
	// WastedPerThousand is the number of wasted messages per 1,000 tasks.
	WastedPerThousand float64
	// WastedRatio is the fraction of messages that were wasted.
	WastedRatio float64
	// RefusedRatio and FailedRatio are the fractions of refused and failed jobs among those that were not cancelled.
	RefusedRatio, FailedRatio float64
	// Cancelled is the number of jobs cancelled before their start.
	Cancelled int
	// StartedTwice is the number of repeated starts of tasks, and UntrueRefusals the number of refused or cancelled
	// jobs of which a task started. Both violate guarantees of the system and must be 0.
	StartedTwice, UntrueRefusals int
}

// results computes the results from the counts.
func (counts *counts) results() Results {
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
		results.P99 = percentile99(counts.slowdowns)
		results.P99WithFailed = percentile99(slices.Sorted(slices.Values(slices.Concat(counts.slowdowns, counts.failedSlowdowns))))
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

// percentile99 returns the 99th percentile of sorted, which must not be empty.
func percentile99(sorted []float64) float64 {
	return sorted[int(math.Ceil(0.99*float64(len(sorted))))-1]
}
