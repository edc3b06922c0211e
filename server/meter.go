package server

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// meter holds the metrics of one instance.
type meter struct {
	set      *metrics.Set
	panics   *metrics.Counter
	requests map[string]*metrics.Counter
	forwards map[string]*metrics.Counter
	fates    map[dispatcher.Fate]*metrics.Counter
	retries  *metrics.Counter
	duration *metrics.Histogram
}

// outcomeNames are the values of the label outcome. Requests answered without an outcome are counted as other. Problem
// documents have one even if their request submitted no job.
var outcomeNames = []string{"complete", "failed", "refused", "unknown", "other"}

func newMeter(inFlight func() float64) *meter {
	set := metrics.NewSet()
	meter := &meter{
		set:      set,
		panics:   set.NewCounter("hyssoplift_panics_total"),
		requests: make(map[string]*metrics.Counter),
		forwards: make(map[string]*metrics.Counter),
		fates:    make(map[dispatcher.Fate]*metrics.Counter),
		retries:  set.NewCounter("hyssoplift_task_retries_total"),
		duration: set.NewHistogram("hyssoplift_request_seconds"),
	}
	for _, name := range outcomeNames {
		meter.forwards[name] = set.NewCounter(`hyssoplift_forwards_served_total{outcome="` + name + `"}`)
		meter.requests[name] = set.NewCounter(`hyssoplift_requests_total{outcome="` + name + `"}`)
	}
	for _, fate := range []dispatcher.Fate{dispatcher.FateNotStarted, dispatcher.FateUnknown, dispatcher.FateFinished, dispatcher.FateFailed} {
		meter.fates[fate] = set.NewCounter(`hyssoplift_tasks_total{fate="` + string(fate) + `"}`)
	}
	set.NewGauge("hyssoplift_jobs_in_flight", inFlight)
	return meter
}

// registerGauges registers gauges of the controllers' state.
func (meter *meter) registerGauges(server *Server) {
	traffic := server.linker.Traffic()
	for name, read := range map[string]func() int64{
		"hyssoplift_link_frames_sent":      traffic.FramesSent,
		"hyssoplift_link_messages_sent":    traffic.MessagesSent,
		"hyssoplift_link_bytes_sent":       traffic.BytesSent,
		"hyssoplift_link_bytes_received":   traffic.BytesReceived,
		"hyssoplift_link_pings_sent":       traffic.PingsSent,
		"hyssoplift_link_messages_dropped": traffic.Dropped,
		"hyssoplift_link_stray_answers":    traffic.StrayAnswers,
		"hyssoplift_start_records":         func() int64 { return int64(server.keeper.RecordCount()) },
		"hyssoplift_jobs_waiting":          func() int64 { return int64(server.scheduler.limiter.WaitingJobs()) },
		"hyssoplift_tasks_in_flight":       func() int64 { return int64(server.scheduler.limiter.TasksInFlight()) },
		"hyssoplift_view":                  func() int64 { number, _ := server.keeper.View(); return number },
	} {
		meter.set.NewGauge(name, func() float64 { return float64(read()) })
	}
}

// countRequest counts an answered request, and records how long it took if it was answered with an outcome.
func (meter *meter) countRequest(outcome string, duration time.Duration) {
	counter := meter.requests[outcome]
	if counter == nil {
		meter.requests["other"].Inc()
		return
	}
	counter.Inc()
	meter.duration.Update(duration.Seconds())
}

func (meter *meter) write(writer io.Writer) {
	meter.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
