package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/encoder"
)

const testBundle = `[bundle]
version = 1
[failure-domain local]
[target runner-1]
failure-domain = local
service = demo
address = %s
slots = 64
[kind loop-check]
service = demo
repeatable = true
max-tasks = 2
[kind spoke-check]
run-ms = 1
service = demo
repeatable = true
[team demo]
max-in-flight = 100000
`

// startServer starts a server on the loopback interface whose bundle has handler as its only runner.
func startServer(tb testing.TB, handler http.Handler, logger hclog.Logger) (*Server, string) {
	tb.Helper()
	runner, records := httptest.NewServer(handler), emulator.NewLog()
	log := httptest.NewServer(records)
	record, keys, err := signBundle(fmt.Sprintf(testBundle, runner.Listener.Addr()), nil)
	if err != nil {
		tb.Fatal(err)
	}
	records.Append(bundler.Stream, record)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	settings, err := configurer.Read([]string{
		"--failure-domain=local", "--instance=entry-1", "--bundle-keys=" + keys,
		"--log=" + log.Listener.Addr().String(), "--max-body-bytes=8192",
	}, io.Discard)
	if err != nil {
		tb.Fatal(err)
	}
	server := New(settings, listener, logger)
	waitFor(tb, server.ready)
	tb.Cleanup(func() {
		server.stop()
		server.linker.Close()
		_ = server.http.Close()
		runner.CloseClientConnections()
		runner.Close()
		log.CloseClientConnections()
		log.Close()
	})
	return server, "http://" + listener.Addr().String()
}

type reply struct {
	status int
	header http.Header
	answer encoder.Answer
}

func send(tb testing.TB, method, url, body string, header ...string) reply {
	tb.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		tb.Fatal(err)
	}
	defer response.Body.Close()
	reply := reply{status: response.StatusCode, header: response.Header}
	text, _ := io.ReadAll(response.Body)
	if err := json.Unmarshal(text, &reply.answer); err != nil && len(text) > 0 {
		tb.Fatalf("answer %q: %v", text, err)
	}
	return reply
}

const validJob = `{"kind":"loop-check","team":"demo","tasks":[{"name":"a","payload":{"run-ms":1}}]}`

// Guards against invalid input that is accepted, starts something, or is refused without naming the invalid field.
func TestBadInputIsRefused(t *testing.T) {
	runner := emulator.NewRunner(8, 1)
	_, base := startServer(t, runner, hclog.NewNullLogger())
	swap := func(old, new string) string { return strings.Replace(validJob, old, new, 1) }
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		header []string
		status int
		field  string
	}{
		{"body too large", "POST", "/v1/jobs", swap(`1}`, `1,"echo":"`+strings.Repeat("x", 9000)+`"}`), nil, 413, "body"},
		{"not JSON", "POST", "/v1/jobs", "{", nil, 400, "body"},
		{"empty", "POST", "/v1/jobs", "", nil, 400, "body"},
		{"data after the job", "POST", "/v1/jobs", validJob + "{}", nil, 400, "body"},
		{"unknown field", "POST", "/v1/jobs", swap(`"kind"`, `"priority":1,"kind"`), nil, 400, "priority"},
		{"wrong type", "POST", "/v1/jobs", swap(`"demo"`, `7`), nil, 400, "team"},
		{"kind missing", "POST", "/v1/jobs", swap(`"loop-check"`, `""`), nil, 400, "kind"},
		{"name with a space", "POST", "/v1/jobs", swap(`"a"`, `"a b"`), nil, 400, "tasks[0].name"},
		{"name used twice", "POST", "/v1/jobs", swap(`[`, `[{"name":"a"},`), nil, 400, "tasks[1].name"},
		{"no tasks", "POST", "/v1/jobs", `{"kind":"loop-check","team":"demo","tasks":[]}`, nil, 400, "tasks"},
		{"timeout out of bounds", "POST", "/v1/jobs", swap(`"tasks"`, `"timeout-ms":0,"tasks"`), nil, 400, "timeout-ms"},
		{"key too long", "POST", "/v1/jobs", validJob, []string{keyHeader, strings.Repeat("k", 129)}, 400, keyHeader},
		{"two keys", "POST", "/v1/jobs", validJob, []string{keyHeader, "a", keyHeader, "b"}, 400, keyHeader},
		{"unknown kind", "POST", "/v1/jobs", swap("loop-check", "other"), nil, 404, "kind"},
		{"unknown team", "POST", "/v1/jobs", swap("demo", "other"), nil, 404, "team"},
		{"too many tasks for the kind", "POST", "/v1/jobs", swap(`[`, `[{"name":"b"},{"name":"c"},`), nil, 422, "tasks"},
		{"wrong method", "PUT", "/v1/jobs", validJob, nil, 405, "method"},
		{"unknown path", "GET", "/v2/jobs", "", nil, 404, "path"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reply := send(t, test.method, base+test.path, test.body, test.header...)
			is.Equal(reply.status, test.status)
			is.Equal(reply.header.Get("Content-Type"), encoder.ContentTypeProblem)
			is.Equal(reply.answer.Field, test.field)
			is.Equal(reply.answer.Outcome, "refused")
			is.True(reply.answer.NotRun)
			is.Equal(reply.answer.Status, test.status)
		})
	}
	is.New(t).Equal(len(runner.Starts()), 0) // nothing started
}

// Guards against a panic in a handler that ends the process, and against a response to it which claims that nothing
// ran.
func TestPanicIsAnsweredUnknown(t *testing.T) {
	is := is.New(t)
	var lines lockedBuffer
	server, _ := startServer(t, emulator.NewRunner(8, 1), hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &lines}))
	recorder := httptest.NewRecorder()
	faulty := chain(func(exchange *exchange) { exchange.key = "k-1"; panic("broken") }, server.recoverPanics, server.logRequests)
	faulty(&exchange{ResponseWriter: recorder, request: httptest.NewRequest(http.MethodPost, "/v1/jobs", nil)})
	var answer encoder.Answer
	is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &answer))
	is.Equal(recorder.Code, http.StatusInternalServerError)
	is.Equal(answer.NotRun, false)
	is.Equal(answer.Outcome, "unknown")
	is.True(strings.Contains(lines.String(), `"job":"k-1"`)) // the log line names the job
}

// Guards against a second start: net/http must not send the request again on another connection when the first is
// stale.
func TestStaleConnectionStartsOnce(t *testing.T) {
	is := is.New(t)
	var starts atomic.Int64
	closing := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if starts.Add(1) == 1 {
			_, _ = io.WriteString(writer, "1")
			return
		}
		// The request arrived on a reused connection. Closing it without a response makes it look stale.
		conn, _, _ := writer.(http.Hijacker).Hijack()
		_ = conn.Close()
	})
	_, base := startServer(t, closing, hclog.NewNullLogger())
	is.Equal(send(t, "POST", base+"/v1/jobs", validJob).status, 200)
	reply := send(t, "POST", base+"/v1/jobs", validJob)
	is.Equal(reply.status, 502)
	is.Equal(string(reply.answer.Fates[0].Fate), "unknown")
	is.Equal(starts.Load(), int64(2)) // one start per job
}

// Guards against a trace that ends at the instance, and against passing on a malformed traceparent.
func TestTraceParentReachesTheTarget(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 2)
	_, base := startServer(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		seen <- request.Header.Get(traceParentHeader)
		_, _ = io.WriteString(writer, "1")
	}), hclog.NewNullLogger())
	const trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	send(t, "POST", base+"/v1/jobs", validJob, "traceparent", trace)
	is.Equal(<-seen, trace)
	send(t, "POST", base+"/v1/jobs", validJob, "traceparent", strings.ToUpper(trace))
	is.Equal(<-seen, "")
}

// lockedBuffer collects log lines that background goroutines of a server may still write while a test reads them.
type lockedBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write appends data.
func (buffer *lockedBuffer) Write(data []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.lines.Write(data)
}

// String returns the data written so far.
func (buffer *lockedBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.lines.String()
}
