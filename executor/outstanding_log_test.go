package executor

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// The line of a start must say which earlier requests for it, and which starts of its task elsewhere, may still be carried out.
func TestLineOfAStartNamesOutstandingRequests(t *testing.T) {
	tests := []struct {
		name  string
		start scheduler.StartTask
		want  []string
	}{
		{"each request answered", scheduler.StartTask{}, nil},
		{"request without an answer", scheduler.StartTask{Unanswered: 2}, []string{`"unanswered":2`}},
		{
			"start outstanding elsewhere",
			scheduler.StartTask{OutstandingOn: "t1", OutstandingFor: 1500 * time.Millisecond},
			[]string{`"outstanding-on":"t1"`, `"outstanding-ms":1500`},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			logger := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &output})
			executor := &Executor{self: linker.Hello{Incarnation: "self"}, now: time.Now, logger: logger}
			executor.logStart(test.start, scheduler.StartTaken, "", time.Millisecond)
			for _, field := range []string{`"unanswered"`, `"outstanding-on"`, `"outstanding-ms"`} {
				named := false
				for _, want := range test.want {
					named = named || strings.HasPrefix(want, field)
				}
				is.Equal(strings.Contains(output.String(), field), named)
			}
			for _, want := range test.want {
				is.True(strings.Contains(output.String(), want))
			}
		})
	}
}
