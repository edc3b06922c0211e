package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/emulator"
)

// Guards against an instance that reads no further view or bundle because one connection to the log stopped responding.
func TestSilentConnectionToTheLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := emulator.NewLog()
	log.Append("views-ahd", []byte("{}"))
	var reads atomic.Int64
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if reads.Add(1) == 1 {
			<-silent
			return
		}
		log.ServeHTTP(writer, request)
	}))
	defer server.Close()
	defer close(silent)
	client := appender.New(strings.TrimPrefix(server.URL, "http://"))
	_, err := readLog(context.Background(), client, "views-ahd", 0, 0)
	is.True(err != nil) // the unanswered read is abandoned
	page, err := readLog(context.Background(), client, "views-ahd", 0, time.Second)
	is.NoErr(err)
	is.Equal(len(page.Records), 1) // the next read uses a connection of its own
}
