package submitter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	maxAnswerBytes = 256 << 20
	maxPrefixBytes = 4096
	// maxConnections bounds the idle connections kept; more jobs at a time open further ones.
	maxConnections = 256
	// firstDelay and lastDelay bound the doubling delay before a resubmission.
	firstDelay = 20 * time.Millisecond
	lastDelay  = 2 * time.Second
	// grace is how long after a job's deadline its answer may still arrive.
	grace = 2 * time.Second
)

// Submitter submits jobs to one deployment; it is safe for concurrent use.
type Submitter struct {
	base         string
	client       *http.Client
	prefix       atomic.Pointer[string]
	resubmission atomic.Int64
}

// New returns a submitter for the balancer or instance at address, a host and port.
func New(address string) *Submitter {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections}
	return &Submitter{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// Resubmissions returns how many jobs were sent again under their key.
func (submitter *Submitter) Resubmissions() int64 { return submitter.resubmission.Load() }

// Submit sends job, waits for its answer and returns it with the job's key. A job without a key gets an
// issued one if the deployment issues keys. When the connection is lost or the outcome cannot be determined
// yet, the job is sent again under the same key until its deadline. After an error the job may or may not
// have run.
func (submitter *Submitter) Submit(ctx context.Context, job dispatcher.Job) (dispatcher.Outcome, string, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline().Add(grace))
	defer cancel()
	if job.Key() == "" {
		if prefix := submitter.keyPrefix(ctx); prefix != "" {
			job = job.WithKey(prefix + uuid.NewString())
		}
	}
	var last dispatcher.Outcome
	for delay := firstDelay; ; delay = min(2*delay, lastDelay) {
		outcome, key, err := submitter.attempt(ctx, job)
		// Without a key the job cannot be recognised, and sending it again could run it twice.
		if job.Key() == "" || err == nil && !isUnknown(outcome) {
			return outcome, key, err
		}
		if err == nil {
			last = outcome
		}
		if !sleep(ctx, sleeper.Jitter(delay), job.Deadline()) {
			if last != nil {
				return last, job.Key(), nil
			}
			return nil, job.Key(), err
		}
		submitter.resubmission.Add(1)
	}
}

func isUnknown(outcome dispatcher.Outcome) bool {
	_, unknown := outcome.(dispatcher.Unknown)
	return unknown
}

// sleep waits for delay and reports whether the job may be sent again before deadline.
func sleep(ctx context.Context, delay time.Duration, deadline time.Time) bool {
	if time.Now().Add(delay).After(deadline) {
		return false
	}
	return sleeper.For(ctx, delay)
}

func (submitter *Submitter) attempt(ctx context.Context, job dispatcher.Job) (dispatcher.Outcome, string, error) {
	body, err := encoder.EncodeJob(job, time.Now())
	if err != nil {
		return nil, job.Key(), eris.Wrap(err, "encoding the job")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, submitter.base+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return nil, job.Key(), eris.Wrap(err, "preparing the request")
	}
	if job.Key() == "" {
		// Without GetBody, net/http cannot send a job twice that nobody could recognise.
		request.GetBody = nil
	} else {
		request.Header.Set("Idempotency-Key", job.Key())
	}
	request.Header.Set("Content-Type", encoder.ContentTypeJSON)
	response, err := submitter.client.Do(request)
	if err != nil {
		return nil, job.Key(), eris.Wrapf(err, "submitting job %s", job.Key())
	}
	defer response.Body.Close()
	submitter.notePrefix(response.Header.Get("Hyssoplift-Key-Prefix"))
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, job.Key(), eris.Wrapf(err, "reading the answer to job %s", job.Key())
	}
	outcome, key, err := encoder.DecodeOutcome(answer, response.Header.Get("Retry-After"), time.Now())
	if err == nil && job.Key() != "" && key != "" && key != job.Key() {
		return nil, job.Key(), eris.Errorf("job %s got the answer to job %s", job.Key(), key)
	}
	return outcome, key, err
}

// keyPrefix returns a key prefix, or an empty string if the deployment issues none now.
func (submitter *Submitter) keyPrefix(ctx context.Context) string {
	if prefix := submitter.prefix.Load(); prefix != nil {
		return *prefix
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, submitter.base+"/v1/key-prefix", nil)
	if err != nil {
		return ""
	}
	response, err := submitter.client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxPrefixBytes))
	submitter.notePrefix(response.Header.Get("Hyssoplift-Key-Prefix"))
	if prefix := submitter.prefix.Load(); prefix != nil {
		return *prefix
	}
	return ""
}

// notePrefix keeps the latest prefix; newer ones expire later. A solo prefix is not kept, because a job
// under it cannot move to another instance.
func (submitter *Submitter) notePrefix(prefix string) {
	if prefix != "" && !strings.Contains(prefix, ".solo") {
		submitter.prefix.Store(&prefix)
	}
}
