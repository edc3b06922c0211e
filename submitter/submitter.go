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
	// maxIdleConnections is the number of idle connections kept open; more concurrent jobs open further connections.
	maxIdleConnections = 256
	// minRetryDelay and maxRetryDelay bound the exponential backoff between resubmissions.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// answerGrace is how long after a job's deadline its answer may still arrive.
	answerGrace = 2 * time.Second
)

// Submitter submits jobs to one deployment. It is safe for concurrent use.
type Submitter struct {
	baseURL       string
	client        *http.Client
	prefix        atomic.Pointer[string]
	resubmissions atomic.Int64
}

// New returns a submitter for the balancer or instance at address, a host and port.
func New(address string) *Submitter {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &Submitter{baseURL: "http://" + address, client: &http.Client{Transport: transport}}
}

// Resubmissions returns how many times a job was sent again under its key.
func (submitter *Submitter) Resubmissions() int64 { return submitter.resubmissions.Load() }

// Submit sends job, waits for its answer and returns the outcome with the job's key. A job without a key is given one
// with a prefix issued by the deployment, or is sent without a key if no prefix could be obtained. If the connection is
// lost or the outcome is unknown, a job that has a key is sent again under it until its deadline, and one without a key
// is not. After an error the job may or may not have run.
func (submitter *Submitter) Submit(ctx context.Context, job dispatcher.Job) (dispatcher.Outcome, string, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline().Add(answerGrace))
	defer cancel()
	if job.Key() == "" {
		if prefix := submitter.keyPrefix(ctx); prefix != "" {
			job = job.WithKey(prefix + uuid.NewString())
		}
	}
	var last dispatcher.Outcome
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		outcome, key, err := submitter.attempt(ctx, job)
		// Without a key the server cannot detect a duplicate, so sending the job again could run it twice.
		if job.Key() == "" || err == nil && !isUnknown(outcome) {
			return outcome, key, err
		}
		if err == nil {
			last = outcome
		}
		if !waitToResubmit(ctx, sleeper.Jitter(delay), job.Deadline()) {
			if last != nil {
				return last, job.Key(), nil
			}
			return nil, job.Key(), err
		}
		submitter.resubmissions.Add(1)
	}
}

func isUnknown(outcome dispatcher.Outcome) bool {
	_, unknown := outcome.(dispatcher.Unknown)
	return unknown
}

// waitToResubmit sleeps for delay and reports whether the job may then be sent again. It returns false at once if the
// delay would end after deadline.
func waitToResubmit(ctx context.Context, delay time.Duration, deadline time.Time) bool {
	if time.Now().Add(delay).After(deadline) {
		return false
	}
	return sleeper.For(ctx, delay)
}

// attempt submits the job once.
func (submitter *Submitter) attempt(ctx context.Context, job dispatcher.Job) (dispatcher.Outcome, string, error) {
	body, err := encoder.EncodeJob(job, time.Now())
	if err != nil {
		return nil, job.Key(), eris.Wrap(err, "encoding the job")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, submitter.baseURL+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return nil, job.Key(), eris.Wrap(err, "creating the request")
	}
	if job.Key() == "" {
		// Without GetBody, net/http cannot send the job again; without a key the server could not detect the duplicate.
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
	submitter.storePrefix(response.Header.Get("Hyssoplift-Key-Prefix"))
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, job.Key(), eris.Wrapf(err, "reading the answer to job %s", job.Key())
	}
	outcome, key, err := encoder.DecodeOutcome(answer, response.Header.Get("Retry-After"), time.Now())
	if err == nil && job.Key() != "" && key != "" && key != job.Key() {
		return nil, job.Key(), eris.Errorf("submitting job %s: received the answer to job %s", job.Key(), key)
	}
	return outcome, key, err
}

// keyPrefix returns a key prefix that the deployment issued, or an empty string if none could be obtained.
func (submitter *Submitter) keyPrefix(ctx context.Context) string {
	if prefix := submitter.prefix.Load(); prefix != nil {
		return *prefix
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, submitter.baseURL+"/v1/key-prefix", nil)
	if err != nil {
		return ""
	}
	response, err := submitter.client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxPrefixBytes))
	submitter.storePrefix(response.Header.Get("Hyssoplift-Key-Prefix"))
	if prefix := submitter.prefix.Load(); prefix != nil {
		return *prefix
	}
	return ""
}

// storePrefix replaces the stored prefix, since newer prefixes expire later. It ignores solo prefixes, which an
// instance issues while it has no view or reaches no other member, because a job under one cannot move to another
// instance.
func (submitter *Submitter) storePrefix(prefix string) {
	if prefix != "" && !strings.Contains(prefix, ".solo") {
		submitter.prefix.Store(&prefix)
	}
}
