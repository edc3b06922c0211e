package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	dialTimeout = time.Second
	// idleLimit bounds how long an unused connection may serve for another start: firewalls forget idle
	// connections silently, and a start on such a connection would end with its outcome unknown.
	idleLimit = 5 * time.Second
	// maxResultBytes bounds the result of one task.
	maxResultBytes = 1 << 20
	// maxConnections is the number of connections that a runner accepts.
	maxConnections = 60
)

// Result is what became of one start: Success, NotStarted, Rejected or Lost.
type Result interface{ isResult() }

// Success means that the target returned a result.
type Success struct{ result json.RawMessage }

// NotStarted means that the task provably did not start.
type NotStarted struct {
	detail  string
	leaving bool
}

// Rejected means that the target ran the task and reported an error.
type Rejected struct{ detail string }

// Lost means that the task may have started and no result arrived.
type Lost struct{ detail string }

func (Success) isResult()    {}
func (NotStarted) isResult() {}
func (Rejected) isResult()   {}
func (Lost) isResult()       {}

// Result returns the JSON value that the target returned.
func (success Success) Result() json.RawMessage { return success.result }

// Detail returns why the task did not start.
func (notStarted NotStarted) Detail() string { return notStarted.detail }

// Leaving reports whether the target said that it takes no more work.
func (notStarted NotStarted) Leaving() bool { return notStarted.leaving }

// Detail returns the target's error.
func (rejected Rejected) Detail() string { return rejected.detail }

// Detail returns how the connection failed.
func (lost Lost) Detail() string { return lost.detail }

// Starter starts tasks on runners.
type Starter struct{ client *http.Client }

// New returns a starter with its own pool of connections.
func New() *Starter {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		IdleConnTimeout:     idleLimit,
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
	}
	return &Starter{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect keeps a redirect from starting the task a second time elsewhere.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Start runs task on the runner at address and returns what became of it; it starts the task at most once.
// A non-empty traceParent is passed on.
func (starter *Starter) Start(ctx context.Context, address, kind, traceParent string, task dispatcher.Task) Result {
	var attempt attempt
	trace := &httptrace.ClientTrace{
		// A connection carries one request at a time, so later writes on it belong to this one.
		GotConn: func(info httptrace.GotConnInfo) {
			attempt.take(info.Conn.(*guardedConn))
		},
	}
	request := newRequest(httptrace.WithClientTrace(ctx, trace), address, kind, traceParent, task.Payload())
	response, err := starter.client.Do(request)
	if err != nil {
		if attempt.neverWrites() {
			return NotStarted{detail: err.Error()}
		}
		return Lost{detail: err.Error()}
	}
	defer response.Body.Close()
	return classify(response)
}

// newRequest returns a request that net/http sends at most once: it has no GetBody and no Idempotency-Key
// header, with either of which net/http may send it again on a stale connection, and its body is not empty.
func newRequest(ctx context.Context, address, kind, traceParent string, payload []byte) *http.Request {
	if len(payload) == 0 {
		payload = []byte("null")
	}
	target := &url.URL{Scheme: "http", Host: address, Path: "/run/" + kind, RawPath: "/run/" + url.PathEscape(kind)}
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           target,
		Host:          address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          io.NopCloser(bytes.NewReader(payload)),
		ContentLength: int64(len(payload)),
	}
	if traceParent != "" {
		request.Header["Traceparent"] = []string{traceParent}
	}
	return request.WithContext(ctx)
}

func classify(response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes+1))
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return NotStarted{detail: response.Status, leaving: response.Close}
	case response.StatusCode == http.StatusTooManyRequests:
		return NotStarted{detail: response.Status}
	case response.StatusCode != http.StatusOK:
		return Rejected{detail: response.Status}
	case err != nil:
		return Lost{detail: err.Error()}
	case len(body) > maxResultBytes:
		return Rejected{detail: fmt.Sprintf("result has more than %d bytes", maxResultBytes)}
	case !json.Valid(body):
		return Rejected{detail: "result is not valid JSON"}
	}
	return Success{result: body}
}
