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
	return &meter{
		set:    set,
		stops:  set.NewCounter("hyssoplift_stops_total"),
		looks:  set.NewCounter("hyssoplift_looks_total"),
		wait:   set.NewHistogram("hyssoplift_start_wait_seconds"),
		orders: set.NewHistogram("hyssoplift_start_order_seconds"),
	}
}

// count counts the outcome of a job.
func (meter *meter) count(answer scheduler.Answer) {
	name := `hyssoplift_jobs_total{outcome="complete"}`
	switch outcome := answer.Outcome.(type) {
	case dispatcher.Complete:
	case dispatcher.Failed:
		name = `hyssoplift_jobs_total{outcome="failed"}`
	case dispatcher.Unknown:
		name = `hyssoplift_jobs_total{outcome="unknown"}`
	case dispatcher.Refused:
		name = `hyssoplift_jobs_total{outcome="refused",reason="` + string(outcome.Reason()) + `"}`
	}
	meter.set.GetOrCreateCounter(name).Inc()
}

// started counts an order to start: how long after the job's arrival it was answered, and how long the order took.
func (meter *meter) started(result scheduler.StartResult, sinceArrival, order time.Duration) {
	meter.set.GetOrCreateCounter(`hyssoplift_starts_total{result="` + result.String() + `"}`).Inc()
	meter.wait.Update(sinceArrival.Seconds())
	meter.orders.Update(order.Seconds())
}

// WriteMetrics writes the metrics of the executor in text format.
func (executor *Executor) WriteMetrics(writer io.Writer) { executor.meter.set.WritePrometheus(writer) }
