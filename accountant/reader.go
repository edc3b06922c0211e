package accountant

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/reporter"
)

const (
	// readTimeout limits the time of one request to the handler. Records that were read by then are kept for the next
	// request.
	readTimeout = 20 * time.Second
	// followInterval is the interval between the reads of a follower; instances append once a minute.
	followInterval = 10 * time.Second
)

// Reader computes reports from the hourly sums and the minute records after them. Except in a Follower, it reads only
// when a report is requested, so that instances without requests for reports have no cost. It reads each record once.
// It uses the memory of one Aggregator and one page of the log.
type Reader struct {
	mu       sync.Mutex
	cursor   cursor
	sumsRead bool // whether the hourly sums were read, which is done once
}

// NewReader returns a reader of the burn records in log.
func NewReader(log *appender.Appender) *Reader {
	return &Reader{cursor: cursor{log: log, aggregator: reporter.NewAggregator()}}
}

// SetObjective sets the objective of a kind, which is used until a record with an objective of that kind is read.
func (reader *Reader) SetObjective(kind string, objective reporter.Objective) {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	reader.cursor.aggregator.SetObjective(kind, objective)
}

// Report reads the new records in the log and returns the report at now. After an error, the report contains only the
// records that were read before the error, and shows the other minutes as missing.
func (reader *Reader) Report(ctx context.Context, now time.Time) (reporter.Report, error) {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	err := reader.readNew(ctx, now)
	reader.cursor.aggregator.Prune(now)
	return reader.cursor.aggregator.Report(now), err
}

// advance reads the new records in the log without computing a report.
func (reader *Reader) advance(ctx context.Context, now time.Time) error {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	err := reader.readNew(ctx, now)
	reader.cursor.aggregator.Prune(now)
	return err
}

// readNew adds all new records to the aggregator; the first call also adds the hourly sums, which replace most of the
// records. The caller holds reader.mu.
func (reader *Reader) readNew(ctx context.Context, now time.Time) error {
	if !reader.sumsRead {
		if err := reader.cursor.readSums(ctx, now); err != nil {
			return err
		}
		reader.sumsRead = true
	}
	return reader.cursor.readMinutes(ctx, now, toEnd)
}

// Handler returns the handler of GET /v1/burn, which reports the burn records in log as JSON, or with ?format=text as a
// text table and with ?format=html as an HTML page.
func Handler(log *appender.Appender) http.Handler {
	reader := NewReader(log)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), readTimeout)
		defer cancel()
		report, err := reader.Report(ctx, time.Now())
		if err != nil {
			// An outdated or incomplete report could be mistaken for the current state, so none is returned.
			http.Error(writer, "the burn records cannot be read from the log now", http.StatusServiceUnavailable)
			return
		}
		write, contentType := report.WriteText, "text/plain; charset=utf-8"
		switch request.FormValue("format") {
		case "", "json":
			writer.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(writer).Encode(report)
			return
		case "html":
			write, contentType = report.WriteHTML, "text/html; charset=utf-8"
		case "text":
		default:
			http.Error(writer, "format: allowed are json, text and html", http.StatusBadRequest)
			return
		}
		writer.Header().Set("Content-Type", contentType)
		// A write fails only if the client closed the connection.
		_ = write(writer)
	})
}
