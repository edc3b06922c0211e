package supervisor

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hyssoplift/hyssoplift/sleeper"
)

// loadInterval is the time between two log lines about the load of this instance.
const loadInterval = time.Second

// counter is a counter of this instance, with its names in the metrics and in the log.
type counter struct {
	metric string
	field  string
	value  func() int64
}

// counters returns the counters that distinguish an overloaded link from an overloaded processor and show what causes the load.
func (supervisor *Supervisor) counters() []counter {
	targets, peers := supervisor.targetClient.Traffic(), supervisor.links.Traffic()
	counters := []counter{
		{"hyssoplift_target_dials_total", "dials", targets.Dials},
		{"hyssoplift_target_dials_failed_total", "failed-dials", targets.FailedDials},
		{"hyssoplift_target_connections_denied_total", "denied-connections", targets.DeniedConnections},
		{"hyssoplift_target_connections_reset_total", "reset-connections", targets.ResetConnections},
		{"hyssoplift_target_sent_bytes_total", "target-sent", targets.BytesSent},
		{"hyssoplift_target_received_bytes_total", "target-received", targets.BytesReceived},
		{"hyssoplift_peer_frames_sent_total", "peer-frames", peers.FramesSent},
		{"hyssoplift_peer_sent_bytes_total", "peer-sent", peers.BytesSent},
		{"hyssoplift_peer_received_bytes_total", "peer-received", peers.BytesReceived},
		{"hyssoplift_store_received_bytes_total", "store-received", supervisor.store.BytesReceived},
		{"hyssoplift_caller_received_bytes_total", "caller-received", supervisor.api.BytesReceived},
	}
	for _, entries := range supervisor.executor.Peers().Entries() {
		kind := entries.Kind()
		counters = append(counters, counter{`hyssoplift_peer_entries_sent_total{kind="` + kind + `"}`, "sent-" + kind, entries.Sent})
	}
	return counters
}

// writeCounters writes the counters in the Prometheus text format.
func (supervisor *Supervisor) writeCounters(writer io.Writer) {
	for _, counter := range supervisor.counters() {
		metrics.WriteCounterUint64(writer, counter.metric, uint64(counter.value()))
	}
}

// logLoad logs the load of each period in which this instance polled a target or had a job, until the instance is closed.
func (supervisor *Supervisor) logLoad() {
	counters := supervisor.counters()
	previous := make([]int64, len(counters))
	polls, unanswered := int64(0), int64(0)
	for sleeper.For(supervisor.ctx, loadInterval) {
		load := supervisor.executor.TakeLoad()
		idle := load.Polls == polls && load.ActiveJobs == 0
		fields := []any{
			"jobs", load.ActiveJobs, "waiting", load.WaitingTasks, "tick-delay-ms", load.TickDelay.Milliseconds(),
			"polls", load.Polls - polls, "unanswered-polls", load.UnansweredPolls - unanswered,
		}
		polls, unanswered = load.Polls, load.UnansweredPolls
		for i, counter := range counters {
			value := counter.value()
			if value != previous[i] {
				fields = append(fields, counter.field, value-previous[i])
			}
			previous[i] = value
		}
		if !idle {
			supervisor.logger.Info("load", fields...)
		}
	}
}
