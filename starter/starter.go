package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	dialTimeout = time.Second
	// idleTimeout bounds how long an idle connection may be reused: firewalls silently drop idle connections, and a
	// start on such a connection would end with an unknown outcome.
	idleTimeout = 5 * time.Second
	// maxResultBytes bounds the result of one task.
	maxResultBytes = 1 << 20
	// maxResponseBytes bounds a response including its headers.
	maxResponseBytes = maxResultBytes + 64<<10
	// maxConnections is the number of concurrent connections that one runner accepts.
	maxConnections = 60
)

// Result is the result of one start: Success, NotStarted, TaskFailed or Lost.
type Result interface{ isResult() }

// Success means that the target returned a result.
type Success struct{ result json.RawMessage }

// NotStarted means that the task provably did not start.
type NotStarted struct {
	detail  string
	leaving bool
}

// TaskFailed means that the target ran the task and reported an error or an invalid result.
type TaskFailed struct{ detail string }

// Lost means that the task may have started and no result arrived.
type Lost struct{ detail string }

func (Success) isResult()    {}
func (NotStarted) isResult() {}
func (TaskFailed) isResult() {}
func (Lost) isResult()       {}

// NewSuccess returns a success with result, a JSON value.
func NewSuccess(result json.RawMessage) Success { return Success{result: result} }

// NewNotStarted returns the result of a start that provably did not happen. leaving means that the target accepts no
// more tasks.
func NewNotStarted(detail string, leaving bool) NotStarted {
	return NotStarted{detail: detail, leaving: leaving}
}

// NewTaskFailed returns the result of a task for which the target reported an error.
func NewTaskFailed(detail string) TaskFailed { return TaskFailed{detail: detail} }

// NewLost returns the result of a start whose outcome is unknown.
func NewLost(detail string) Lost { return Lost{detail: detail} }

// Result returns the JSON value that the target returned.
func (success Success) Result() json.RawMessage { return success.result }

// Detail returns why the task did not start.
func (notStarted NotStarted) Detail() string { return notStarted.detail }

// Leaving reports whether the target accepts no more tasks.
func (notStarted NotStarted) Leaving() bool { return notStarted.leaving }

// Detail returns the target's error.
func (taskFailed TaskFailed) Detail() string { return taskFailed.detail }

// Detail returns how the connection failed.
func (lost Lost) Detail() string { return lost.detail }

// Starter starts tasks on runners.
type Starter struct{ pool *pool }

// New returns a starter with its own connection pool.
func New() *Starter { return &Starter{pool: newPool()} }

// Start runs task on the runner at address and returns the result. It starts the task at most once. A non-empty
// traceParent is passed on to the runner.
func (starter *Starter) Start(ctx context.Context, address, kind, traceParent string, task dispatcher.Task) Result {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	request := newRequest(address, kind, traceParent, task.Payload())
	if err := request.Write(buffer); err != nil {
		return NotStarted{detail: err.Error()}
	}
	conn, err := starter.pool.get(ctx, address)
	if err != nil {
		return NotStarted{detail: err.Error()}
	}
	result, reusable := roundTrip(ctx, conn, request, buffer.Bytes())
	if reusable {
		starter.pool.put(address, conn)
	} else {
		starter.pool.drop(address, conn)
	}
	return result
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// newRequest returns the request that starts a task.
func newRequest(address, kind, traceParent string, payload []byte) *http.Request {
	if len(payload) == 0 {
		payload = []byte("null")
	}
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: "/run/" + kind, RawPath: "/run/" + url.PathEscape(kind)},
		Host:          address,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          io.NopCloser(bytes.NewReader(payload)),
		ContentLength: int64(len(payload)),
	}
	if traceParent != "" {
		request.Header["Traceparent"] = []string{traceParent}
	}
	return request
}

// roundTrip sends the request once and reads its response. It reports whether the connection can be reused.
func roundTrip(ctx context.Context, conn *conn, request *http.Request, encoded []byte) (Result, bool) {
	if err := ctx.Err(); err != nil {
		return NotStarted{detail: err.Error()}, true
	}
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return NotStarted{detail: err.Error()}, false
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	// The connection is not reused if ctx is done, because the cancellation may still change its deadline.
	finish := func(result Result, reusable bool) (Result, bool) { return result, stop() && reusable }
	conn.remaining = maxResponseBytes
	if written, err := conn.Write(encoded); err != nil {
		if written == 0 {
			return finish(NotStarted{detail: err.Error()}, false)
		}
		return finish(Lost{detail: err.Error()}, false)
	}
	response, err := readResponse(conn, request)
	if err != nil {
		return finish(Lost{detail: err.Error()}, false)
	}
	result, complete := classify(response)
	return finish(result, complete && !response.Close && conn.reader.Buffered() == 0)
}

// readResponse returns the final response, skipping informational ones.
func readResponse(conn *conn, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
}

// classify converts the response to a result and reports whether its body was read completely.
func classify(response *http.Response) (Result, bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes+1))
	complete := err == nil && len(body) <= maxResultBytes
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return NotStarted{detail: response.Status, leaving: response.Close}, complete
	case response.StatusCode == http.StatusTooManyRequests:
		return NotStarted{detail: response.Status}, complete
	case response.StatusCode != http.StatusOK:
		return TaskFailed{detail: response.Status}, complete
	case err != nil:
		return Lost{detail: err.Error()}, false
	case !complete:
		return TaskFailed{detail: fmt.Sprintf("result has more than %d bytes", maxResultBytes)}, false
	case !json.Valid(body):
		return TaskFailed{detail: "result is not valid JSON"}, true
	}
	return Success{result: body}, true
}
