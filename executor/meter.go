package executor

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// meter holds the metrics of the executor.
type meter struct {
	set    *metrics.Set
	stops  *metrics.Counter
	looks  *metrics.Counter
	wait   *metrics.Histogram
	orders *metrics.Histogram
}

func newMeter() *meter {
	set := metrics.NewSet()
	// Listed from the start, also where nothing is passed on.
	set.NewCounter(`hyssoplift_delegated_jobs_total{outcome="complete"}`)
	return &meter{
		set:    set,
		stops:  set.NewCounter("hyssoplift_stops_total"),
		looks:  set.NewCounter("hyssoplift_looks_total"),
		wait:   set.NewHistogram("hyssoplift_start_wait_seconds"),
		orders: set.NewHistogram("hyssoplift_start_order_seconds"),
	}
}

// count counts the outcome of a job that this instance ran or refused.
func (meter *meter) count(answer scheduler.AnswerJob) {
	labels := `outcome="` + dispatcher.OutcomeClass(answer.Outcome) + `"`
	if refused, ok := answer.Outcome.(dispatcher.Refused); ok {
		labels += `,reason="` + string(refused.Reason()) + `"`
	}
	meter.set.GetOrCreateCounter("hyssoplift_jobs_total{" + labels + "}").Inc()
}

// delegated counts the outcome of a job that another instance ran for this one.
func (meter *meter) delegated(outcome dispatcher.Outcome) {
	meter.set.GetOrCreateCounter(`hyssoplift_delegated_jobs_total{outcome="` + dispatcher.OutcomeClass(outcome) + `"}`).Inc()
}

// started counts an order to start: how long after the job's arrival it was answered, and how long the order took.
func (meter *meter) started(result scheduler.StartResult, sinceArrival, order time.Duration) {
	meter.set.GetOrCreateCounter(`hyssoplift_starts_total{result="` + result.String() + `"}`).Inc()
	meter.wait.Update(sinceArrival.Seconds())
	meter.orders.Update(order.Seconds())
}

// gauges adds what is read from the executor when metrics are written.
func (meter *meter) gauges(executor *Executor) {
	read := func(value func() int) func() float64 {
		return func() float64 {
			executor.mu.Lock()
			defer executor.mu.Unlock()
			return float64(value())
		}
	}
	meter.set.NewGauge("hyssoplift_jobs_active", read(executor.scheduler.ActiveJobs))
	meter.set.NewGauge("hyssoplift_tasks_waiting", read(func() int {
		demand := executor.scheduler.Demand()
		return int(demand[0] + demand[1] + demand[2] + demand[3])
	}))
	meter.set.NewGauge("hyssoplift_targets_read", read(func() int {
		count := 0
		for _, looker := range executor.lookers {
			if looker.reads.Load() {
				count++
			}
		}
		return count
	}))
	meter.set.NewGauge("hyssoplift_targets_known", read(func() int { return len(executor.lookers) }))
}

// WriteMetrics writes the metrics of the executor in text format.
func (executor *Executor) WriteMetrics(writer io.Writer) { executor.meter.set.WritePrometheus(writer) }
