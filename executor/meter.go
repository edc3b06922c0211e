package executor

import (
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/gossiper"
	"github.com/hyssoplift/hyssoplift/reserver"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// meter holds the metrics of the executor.
type meter struct {
	set             *metrics.Set
	stops           *metrics.Counter
	suspensions     *metrics.Counter
	targetRestarts  *metrics.Counter
	overlappingRuns *metrics.Counter
	startsWithheld  *metrics.Counter
	startsRepeated  *metrics.Counter
	tasksGivenUp    *metrics.Counter
	roleChanges     *metrics.Counter
	polls           *metrics.Counter
	unansweredPolls *metrics.Counter
	// returnedInstances counts the instances that sent a message after they were considered lost.
	returnedInstances *metrics.Counter
	wait              *metrics.Histogram
	startDurations    *metrics.Histogram
	// undescribedSeconds is how long restarted targets were not used because their entries had not been read.
	undescribedSeconds *metrics.FloatCounter
	// unguardedSeconds is how long restarted targets were known before they had answered a request that names their present incarnations.
	unguardedSeconds *metrics.FloatCounter
	// startsLeftOutstanding counts the tasks that were queued again while a start of theirs might still be carried out.
	startsLeftOutstanding *metrics.Counter
}

func newMeter() *meter {
	set := metrics.NewSet()
	// Exported from the start, even if no job is ever delegated and no run lost.
	set.NewCounter(`hyssoplift_delegated_jobs_total{outcome="complete"}`)
	set.NewCounter(`hyssoplift_runs_lost_total{reason="lapsed"}`)
	for _, answer := range []reserver.Answer{reserver.Granted, reserver.Denied, reserver.Unanswered} {
		set.NewCounter(reservationsMetric(answer))
	}
	for _, link := range []gossiper.Link{gossiper.LinkOpen, gossiper.LinkGone} {
		set.NewCounter(lostInstancesMetric(link, false))
		set.NewCounter(lostInstancesMetric(link, true))
	}
	return &meter{
		set:                set,
		stops:              set.NewCounter("hyssoplift_stops_total"),
		suspensions:        set.NewCounter("hyssoplift_lease_suspensions_total"),
		targetRestarts:     set.NewCounter("hyssoplift_target_restarts_total"),
		overlappingRuns:    set.NewCounter("hyssoplift_overlapping_runs_total"),
		startsWithheld:     set.NewCounter("hyssoplift_starts_withheld_total"),
		startsRepeated:     set.NewCounter("hyssoplift_starts_repeated_total"),
		tasksGivenUp:       set.NewCounter("hyssoplift_tasks_given_up_total"),
		roleChanges:        set.NewCounter("hyssoplift_role_changes_total"),
		polls:              set.NewCounter("hyssoplift_looks_total"),
		unansweredPolls:    set.NewCounter("hyssoplift_looks_unanswered_total"),
		returnedInstances:  set.NewCounter("hyssoplift_instances_returned_total"),
		wait:               set.NewHistogram("hyssoplift_start_wait_seconds"),
		startDurations:     set.NewHistogram("hyssoplift_start_order_seconds"),
		undescribedSeconds: set.NewFloatCounter("hyssoplift_target_undescribed_seconds_total"),
		unguardedSeconds:   set.NewFloatCounter("hyssoplift_target_unguarded_seconds_total"),

		startsLeftOutstanding: set.NewCounter("hyssoplift_starts_left_outstanding_total"),
	}
}

// countAnswer counts the outcome of a job that this instance ran or refused.
func (meter *meter) countAnswer(answer scheduler.AnswerJob) {
	labels := `outcome="` + dispatcher.OutcomeClass(answer.Outcome) + `"`
	if refused, ok := answer.Outcome.(dispatcher.Refused); ok {
		labels += `,reason="` + string(refused.Reason()) + `"`
	}
	meter.set.GetOrCreateCounter("hyssoplift_jobs_total{" + labels + "}").Inc()
}

// countDelegated counts the outcome of a job that another instance ran for this one.
func (meter *meter) countDelegated(outcome dispatcher.Outcome) {
	meter.set.GetOrCreateCounter(`hyssoplift_delegated_jobs_total{outcome="` + dispatcher.OutcomeClass(outcome) + `"}`).Inc()
}

// recordStart records the result of a start request, the time from the job's arrival to that result, and the duration
// of the request.
func (meter *meter) recordStart(result scheduler.StartResult, sinceArrival, duration time.Duration) {
	meter.set.GetOrCreateCounter(`hyssoplift_starts_total{result="` + result.String() + `"}`).Inc()
	switch result {
	case scheduler.StartDenied:
		return // there was no request
	case scheduler.StartWithheld:
		meter.startsWithheld.Inc()
	}
	meter.wait.Update(sinceArrival.Seconds())
	meter.startDurations.Update(duration.Seconds())
}

// countLostRun counts a run of this instance that was lost or stopped.
func (meter *meter) countLostRun(lost scheduler.RunLost) {
	meter.set.GetOrCreateCounter(`hyssoplift_runs_lost_total{reason="` + string(lost.Reason) + `"}`).Inc()
	if lost.Outstanding > 0 {
		meter.startsLeftOutstanding.Inc()
	}
}

// countLostInstance counts an instance that is considered lost.
func (meter *meter) countLostInstance(evidence *gossiper.LossEvidence) {
	meter.set.GetOrCreateCounter(lostInstancesMetric(evidence.Link(), evidence.PeerLeaving())).Inc()
}

func lostInstancesMetric(link gossiper.Link, leaving bool) string {
	return `hyssoplift_instances_lost_total{link="` + string(link) + `",leaving="` + strconv.FormatBool(leaving) + `"}`
}

// countReservation counts the answer to a reservation of this instance.
func (meter *meter) countReservation(answer reserver.Answer) {
	meter.set.GetOrCreateCounter(reservationsMetric(answer)).Inc()
}

func reservationsMetric(answer reserver.Answer) string {
	return `hyssoplift_reservations_total{result="` + answer.String() + `"}`
}

// registerGauges registers the gauges that read the executor's state when metrics are written.
func (meter *meter) registerGauges(executor *Executor) {
	read := func(value func() int) func() float64 {
		return func() float64 {
			executor.mu.Lock()
			defer executor.mu.Unlock()
			return float64(value())
		}
	}
	meter.set.NewGauge("hyssoplift_jobs_active", read(executor.scheduler.ActiveJobs))
	meter.set.NewGauge("hyssoplift_starts_outstanding", read(executor.scheduler.OutstandingStarts))
	meter.set.NewGauge("hyssoplift_tasks_waiting", read(func() int {
		return int(executor.waitingTasks())
	}))
	meter.set.NewGauge("hyssoplift_targets_read", read(func() int {
		count := 0
		for _, poller := range executor.pollers {
			if poller.isReader.Load() {
				count++
			}
		}
		return count
	}))
	meter.set.NewGauge("hyssoplift_starting_instances", read(func() int {
		plan := executor.peers.Apportionment()
		return plan.Starting()
	}))
	meter.set.NewGauge("hyssoplift_target_connection_limit", read(func() int { return executor.peers.ConnectionLimit(false) }))
	meter.set.NewGauge("hyssoplift_evacuated_domains", read(func() int { return len(executor.evacuator.Evacuated()) }))
	meter.set.NewGauge("hyssoplift_cold_targets", read(executor.scheduler.ColdTargets))
	meter.set.NewGauge("hyssoplift_targets_known", read(func() int { return len(executor.pollers) }))
}

// WriteMetrics writes the metrics of the executor in the Prometheus text format.
func (executor *Executor) WriteMetrics(writer io.Writer) { executor.meter.set.WritePrometheus(writer) }
