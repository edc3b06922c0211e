package submitter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/encoder"
)

const maxAnswerBytes = 256 << 20

// Submitter submits jobs to one deployment.
type Submitter struct {
	base   string
	client *http.Client
}

// New returns a submitter for the balancer or instance at address, a host and port.
func New(address string) *Submitter {
	return &Submitter{base: "http://" + address, client: &http.Client{}}
}

// Submit sends job and waits for its answer; after an error the job may or may not have run, and
// submitting it again under the same key is safe.
func (submitter *Submitter) Submit(ctx context.Context, job dispatcher.Job) (dispatcher.Outcome, string, error) {
	body, err := encoder.EncodeJob(job, time.Now())
	if err != nil {
		return nil, "", eris.Wrap(err, "encoding the job")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, submitter.base+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return nil, "", eris.Wrap(err, "preparing the request")
	}
	request.Header.Set("Content-Type", encoder.ContentTypeJSON)
	if job.Key() != "" {
		request.Header.Set("Idempotency-Key", job.Key())
	}
	response, err := submitter.client.Do(request)
	if err != nil {
		return nil, "", eris.Wrapf(err, "submitting job %s", job.Key())
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, "", eris.Wrapf(err, "reading the answer to job %s", job.Key())
	}
	return encoder.DecodeOutcome(answer, response.Header.Get("Retry-After"), time.Now())
}
