package lister_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/lister"
)

// Guards against an emulated list that shows changes immediately or out of order, so that tests of its readers miss
// faults which only a delayed list reveals.
func TestListShowsChangesAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := emulator.NewList(2 * time.Second)
		shown := func() string {
			recorder := httptest.NewRecorder()
			list.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/instances?failure-domain=ahd", nil))
			return recorder.Body.String()
		}
		const empty = `{"instances":[]}` + "\n"
		list.Put(lister.Instance{Name: "a", FailureDomain: "ahd", Address: "127.0.0.1:1", State: lister.Live})
		list.Put(lister.Instance{Name: "b", FailureDomain: "srt", Address: "127.0.0.1:2", State: lister.Live})
		time.Sleep(time.Second)
		list.Remove("a")
		is.Equal(shown(), empty)
		time.Sleep(time.Second)
		is.Equal(shown(), `{"instances":[{"name":"a","failure-domain":"ahd","address":"127.0.0.1:1","state":"live"}]}`+"\n")
		time.Sleep(time.Second)
		is.Equal(shown(), empty)
	})
}

// Guards against treating a malformed or failed response as an empty list.
func TestBadListsAreErrors(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		good   bool
	}{
		{"valid", 200, `{"instances":[{"name":"a","failure-domain":"ahd","address":"127.0.0.1:1","state":"leaving"}]}`, true},
		{"unavailable", 503, ``, false},
		{"truncated", 200, `{"instances":[`, false},
		{"other failure domain", 200, `{"instances":[{"name":"a","failure-domain":"srt","address":"127.0.0.1:1","state":"live"}]}`, false},
		{"no port", 200, `{"instances":[{"name":"a","failure-domain":"ahd","address":"127.0.0.1","state":"live"}]}`, false},
		{"unknown state", 200, `{"instances":[{"name":"a","failure-domain":"ahd","address":"127.0.0.1:1","state":"dead"}]}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				_, _ = writer.Write([]byte(test.body))
			}))
			defer server.Close()
			instances, err := lister.New(server.Listener.Addr().String()).Instances(context.Background(), "ahd")
			is.Equal(err == nil, test.good)
			is.Equal(len(instances) == 1 && instances[0].State == lister.Leaving, test.good)
		})
	}
}
