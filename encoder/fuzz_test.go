package encoder

import (
	"strings"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// FuzzDecodeJob guards against a body that stops the process, a fault without a field, and a job that changes when a
// caller sends it again: its key would then belong to another body.
func FuzzDecodeJob(f *testing.F) {
	for _, body := range []string{
		`{"kind":"loop-check","team":"demo","tasks":[{"name":"a","payload":{"run-ms":1}}]}`,
		`{"kind":"k","team":"t","timeout-ms":1,"tasks":[{"name":"a"},{"name":"b","payload":[1, 2.50, "\u00e9"]}]}`,
		`{"kind":"k","team":"t","timeout-ms":-1,"tasks":[]}`,
		`{"kind":"k","kind":"l","team":"t","tasks":[{"name":"a","payload":{"x":1,"x":2}}]}`,
		`{"kind":"k","team":"t","tasks":[{"name":"a","payload":{ "text" : "<&>" }}]}`,
		`{"":"loop-check"}`, `{"kind":7}{}`, `[`, `null`, `{"tasks":[` + strings.Repeat(`{},`, 200) + `{}]}`,
	} {
		f.Add([]byte(body), "order-1")
	}
	f.Fuzz(func(t *testing.T, body []byte, key string) {
		now := time.Unix(1000, 0)
		job, fault := DecodeJob(body, key, dispatcher.MaxTasks, now)
		if fault != nil {
			if fault.Field() == "" {
				t.Errorf("fault %v names no field", fault)
			}
			return
		}
		encoded, err := EncodeJob(job, now)
		if err != nil {
			t.Fatalf("encoding a decoded job: %v", err)
		}
		again, fault := DecodeJob(encoded, key, dispatcher.MaxTasks, now)
		if fault != nil {
			t.Fatalf("decoding %s again: %v", encoded, fault)
		}
		if again.Digest() != job.Digest() {
			t.Errorf("the digest of job %s changed with %s", body, encoded)
		}
		if !again.Deadline().Equal(job.Deadline()) || again.Key() != job.Key() || len(again.Tasks()) != len(job.Tasks()) {
			t.Errorf("job %s changed to %+v", body, again)
		}
	})
}
