package encoder

import (
	"strings"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// FuzzDecodeJob guards against a request body that causes a panic, an error without a field, and a job that changes
// when it is encoded and sent again, so that its key would conflict with its own digest.
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
		job, fieldError := DecodeJob(body, key, dispatcher.MaxTasks, now)
		if fieldError != nil {
			if fieldError.Field() == "" {
				t.Errorf("error %v names no field", fieldError)
			}
			return
		}
		encoded, err := EncodeJob(job, now)
		if err != nil {
			t.Fatalf("encoding a decoded job: %v", err)
		}
		again, fieldError := DecodeJob(encoded, key, dispatcher.MaxTasks, now)
		if fieldError != nil {
			t.Fatalf("decoding %s again: %v", encoded, fieldError)
		}
		if again.Digest() != job.Digest() {
			t.Errorf("the digest of job %s differs after encoding it as %s", body, encoded)
		}
		if !again.Deadline().Equal(job.Deadline()) || again.Key() != job.Key() || len(again.Tasks()) != len(job.Tasks()) {
			t.Errorf("job %s was decoded as %+v after encoding it", body, again)
		}
	})
}
