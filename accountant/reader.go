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
	// readTimeout bounds one request to the handler; what was read until then is kept for the next one.
	readTimeout = 20 * time.Second
	// followInterval is the time between two reads of a follower; instances append once a minute.
	followInterval = 10 * time.Second
)

// Reader puts reports together from the hourly sums and the minute records after them. It reads only when a report is asked for, and then only what is
// new, so that instances that nobody asks spend nothing on it. Its memory is that of one ledger and one page of the log.
type Reader struct {
	mu       sync.Mutex
	cursor   cursor
	sumsRead bool // the hourly sums have been read
}

// NewReader returns a reader of the burn records in log.
func NewReader(log *appender.Appender) *Reader {
	return &Reader{cursor: cursor{log: log, aggregator: reporter.NewAggregator()}}
}

// SetObjective sets the objective of a kind for which no record brings one.
func (reader *Reader) SetObjective(kind string, objective reporter.Objective) {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	reader.cursor.aggregator.SetObjective(kind, objective)
}

// Report reads what is new in the log and returns the report at now. After an error the report holds only what was read
// before; the minutes that could not be read are missing in it.
func (reader *Reader) Report(ctx context.Context, now time.Time) (reporter.Report, error) {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	err := reader.readNew(ctx, now)
	reader.cursor.aggregator.Prune(now)
	return reader.cursor.aggregator.Report(now), err
}

// advance adds what is new in the log, without a report.
func (reader *Reader) advance(ctx context.Context, now time.Time) error {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	err := reader.readNew(ctx, now)
	reader.cursor.aggregator.Prune(now)
	return err
}

// readNew adds all new records to the ledger, at first the hourly sums; the caller holds reader.mu.
func (reader *Reader) readNew(ctx context.Context, now time.Time) error {
	if !reader.sumsRead {
		if err := reader.cursor.readSums(ctx, now); err != nil {
			return err
		}
		reader.sumsRead = true
	}
	return reader.cursor.readMinutes(ctx, now, toEnd)
}

// Handler answers GET /v1/burn from log: JSON, or with ?format=text or ?format=html a table or a page.
func Handler(log *appender.Appender) http.Handler {
	reader := NewReader(log)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), readTimeout)
		defer cancel()
		report, err := reader.Report(ctx, time.Now())
		if err != nil {
			// An old report could pass for the current state, so there is none.
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
		// A failed write means that the operator has gone.
		_ = write(writer)
	})
}
