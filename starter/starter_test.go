package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// target is a runner that responds to each request with the text that a function returns, and closes the connection if
// the text is empty. It counts the requests and the connections.
type target struct {
	address string
	starts  atomic.Int64
	dials   atomic.Int64
}

func newTarget(t *testing.T, answer func(*http.Request) string) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &target{address: listener.Addr().String()}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			target.dials.Add(1)
			go func() { target.serve(socket, answer) }()
		}
	}()
	return target
}

func (target *target) serve(socket net.Conn, answer func(*http.Request) string) {
	defer socket.Close()
	for reader := bufio.NewReader(socket); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		target.starts.Add(1)
		text := answer(request)
		if _, err := io.WriteString(socket, text); err != nil || text == "" || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func reply(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

var task = dispatcher.NewTask("a", []byte(`{"n":1}`))

// Guards against classifying a failure as "not started" without proof, and against starting the task again after a
// failure.
func TestFailuresAreClassified(t *testing.T) {
	endless := func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxResponseBytes) + "\r\n\r\n"
	}
	fixed := func(text string) func(*http.Request) string { return func(*http.Request) string { return text } }
	hold := func(request *http.Request) string {
		time.Sleep(time.Hour)
		return ""
	}
	tests := []struct {
		name   string
		answer func(*http.Request) string
		result string
		starts int64
	}{
		{"success", fixed(reply("200 OK", "", "7")), "starter.Success{result:7}", 1},
		{"after an informational response", fixed("HTTP/1.1 103 Early Hints\r\n\r\n" + reply("200 OK", "", "7")), "starter.Success{result:7}", 1},
		{"full", fixed(reply("429 Too Many Requests", "", "")), "starter.NotStarted{leaving:false}", 1},
		{"leaving", fixed(reply("503 Service Unavailable", "Connection: close\r\n", "")), "starter.NotStarted{leaving:true}", 1},
		{"failed", fixed(reply("500 Internal Server Error", "", "")), "starter.TaskFailed", 1},
		{"redirect", fixed(reply("307 Temporary Redirect", "Location: /run/other\r\n", "")), "starter.TaskFailed", 1},
		{"not JSON", fixed(reply("200 OK", "", "{")), "starter.TaskFailed", 1},
		{"result too large", fixed(reply("200 OK", "", strings.Repeat("1", maxResultBytes+1))), "starter.TaskFailed", 1},
		{"closed after the request", fixed(""), "starter.Lost", 1},
		{"closed within the body", fixed("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\n7"), "starter.Lost", 1},
		{"endless header", endless, "starter.Lost", 1},
		{"silent until the deadline", hold, "starter.Lost", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget(t, test.answer)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			is.Equal(describe(New().Start(ctx, target.address, "k", "", task)), test.result)
			is.Equal(target.starts.Load(), test.starts)
		})
	}
}

func describe(result Result) string {
	switch result := result.(type) {
	case Success:
		return fmt.Sprintf("starter.Success{result:%s}", result.Result())
	case NotStarted:
		return fmt.Sprintf("starter.NotStarted{leaving:%v}", result.Leaving())
	default:
		return fmt.Sprintf("%T", result)
	}
}

// Guards against using a connection that the target closed while it was idle, which would leave the outcome of the
// start unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, func(*http.Request) string { return reply("200 OK", "", "7") })
	starter := New()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for range 3 {
		is.Equal(describe(starter.Start(ctx, target.address, "k", "", task)), "starter.Success{result:7}")
	}
	is.Equal(target.dials.Load(), int64(1)) // an open connection is reused
	idle := starter.pool.hosts[target.address].idle[0]
	is.NoErr(idle.Conn.(*net.TCPConn).CloseWrite()) // makes the target close its end
	for idle.usable(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(describe(starter.Start(ctx, target.address, "k", "", task)), "starter.Success{result:7}")
	is.Equal(target.dials.Load(), int64(2))
	starter.pool.hosts[target.address].idle[0].idleSince = time.Now().Add(-idleTimeout)
	is.Equal(describe(starter.Start(ctx, target.address, "k", "", task)), "starter.Success{result:7}")
	is.Equal(target.dials.Load(), int64(3)) // a connection past the idle timeout may have been dropped silently
}

// Guards against opening more connections than a target accepts, and against reporting a start as begun when it timed
// out waiting for a connection.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	target := newTarget(t, func(*http.Request) string {
		<-release
		return reply("200 OK", "", "7")
	})
	starter := New()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	results := make(chan Result, 2*maxConnections)
	for range 2 * maxConnections {
		go func() { results <- starter.Start(ctx, target.address, "k", "", task) }()
	}
	for target.starts.Load() < maxConnections {
		time.Sleep(time.Millisecond)
	}
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	is.Equal(describe(starter.Start(short, target.address, "k", "", task)), "starter.NotStarted{leaving:false}")
	close(release)
	for range 2 * maxConnections {
		is.Equal(describe(<-results), "starter.Success{result:7}")
	}
	is.Equal(target.dials.Load(), int64(maxConnections))
	is.Equal(target.starts.Load(), int64(2*maxConnections))
	is.Equal(describe(starter.Start(ctx, "127.0.0.1:1", "k", "", task)), "starter.NotStarted{leaving:false}")
}
