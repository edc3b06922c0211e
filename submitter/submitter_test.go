package submitter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Guards against losing a job, or submitting it again under another key, after the connection is lost or the outcome is
// unknown. A job without a key must not be submitted again.
func TestResubmissionKeepsTheKey(t *testing.T) {
	const prefix = "~local.7.3."
	tests := []struct {
		name     string
		prefix   string
		key      string
		attempts int
		complete bool
	}{
		{"issued key", prefix, "", 3, true},
		{"key of the caller", "", "order-1", 3, true},
		{"no key", "", "", 1, false},
		{"solo prefix", "~local.abc.solo-1.", "", 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var keys []string
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set("Hyssoplift-Key-Prefix", test.prefix)
				if request.Method == http.MethodGet {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				mu.Lock()
				defer mu.Unlock()
				key := request.Header.Get("Idempotency-Key")
				switch keys = append(keys, key); len(keys) {
				case 1:
					panic(http.ErrAbortHandler)
				case 2:
					writer.WriteHeader(http.StatusGatewayTimeout)
					_, _ = io.WriteString(writer, `{"outcome":"unknown","key":"`+key+`"}`)
				default:
					_, _ = io.WriteString(writer, `{"outcome":"complete","key":"`+key+`"}`)
				}
			}))
			defer server.Close()
			job := dispatcher.NewJob(test.key, "k", "t", time.Now().Add(20*time.Second), []dispatcher.Task{dispatcher.NewTask("a", nil)})
			outcome, key, err := New(server.Listener.Addr().String()).Submit(context.Background(), job)
			_, complete := outcome.(dispatcher.Complete)
			is.Equal(complete, test.complete)
			is.Equal(err == nil, test.complete)
			mu.Lock()
			defer mu.Unlock()
			is.Equal(len(keys), test.attempts)
			for _, sent := range keys {
				is.Equal(sent, key)
				is.True(test.prefix != prefix || strings.HasPrefix(sent, prefix))
			}
		})
	}
}
