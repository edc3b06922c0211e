package leaser

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/placer"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	dialTimeout = time.Second
	// leaseTime is the validity that each start and renewal asks for.
	leaseTime = 10 * time.Second
	// renewAfter leaves room for a lost renewal before the lease lapses.
	renewAfter = 3 * time.Second
	// renewTimeout bounds one renewal, so that a silent connection is given up while the lease is valid.
	renewTimeout = renewAfter + time.Second
	// retryDelay spaces renewals while the worker cannot be reached.
	retryDelay = 100 * time.Millisecond
	// idleLimit bounds the reuse of an idle connection, which may have gone silent.
	idleLimit      = 5 * time.Second
	maxStatusBytes = 2 << 20
)

// Result is what became of a task: Completed, Broken, NotStarted or Lost.
type Result interface{ isEnding() }

// Completed means that the task returned a result.
type Completed struct{ status LeaseStatus }

// TaskFailed means that the worker reported that the task failed, was stopped or outlived its lease.
type TaskFailed struct{ status LeaseStatus }

// NotStarted means that the task provably did not start.
type NotStarted struct {
	detail  string
	leaving bool
}

// Lost means that the task may have started and its state could not be learned in time.
type Lost struct{ detail string }

func (Completed) isEnding()  {}
func (TaskFailed) isEnding() {}
func (NotStarted) isEnding() {}
func (Lost) isEnding()       {}

// Result returns the JSON value of the task's result.
func (completed Completed) Result() json.RawMessage { return completed.status.Result }

// Usage returns how the task's size is to be learned.
func (completed Completed) Usage() placer.Result { return usage(completed.status) }

// Detail returns why the task has no result.
func (taskFailed TaskFailed) Detail() string {
	return fmt.Sprintf("worker reports %s: %s", taskFailed.status.State, taskFailed.status.Detail)
}

// Usage returns how the task's size is to be learned.
func (taskFailed TaskFailed) Usage() placer.Result { return usage(taskFailed.status) }

// Detail returns why the task did not start.
func (notStarted NotStarted) Detail() string { return notStarted.detail }

// Leaving reports whether the worker said that it takes no more work.
func (notStarted NotStarted) Leaving() bool { return notStarted.leaving }

// Detail returns what was last seen of the worker.
func (lost Lost) Detail() string { return lost.detail }

func usage(status LeaseStatus) placer.Result {
	if status.Guard != GuardNone {
		return placer.NewResourcesExceeded(status.Peak)
	}
	if status.State == Finished {
		return placer.NewDone(status.Peak)
	}
	return placer.Failed{}
}

// Leaser runs tasks on workers.
type Leaser struct{ client *http.Client }

// New returns a leaser with its own pool of connections.
func New() *Leaser {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleLimit,
	}
	return &Leaser{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect keeps a redirect from starting the task a second time elsewhere.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// answer is one exchange with the worker.
type answer struct {
	status  LeaseStatus
	code    int
	closing bool
	sent    bool
	err     error
}

// Run starts task on the worker at address under a lease of size and renews the lease until the task ends or
// ctx is done; it starts the task at most once.
func (leaser *Leaser) Run(ctx context.Context, address, kind string, resources placer.Resources, task dispatcher.Task) Result {
	base := fmt.Sprintf("http://%s/leases/%s", address, uuid.NewString())
	request := LeaseRequest{
		Kind: kind, Payload: task.Payload(), Resources: resources,
		LeaseMS: leaseTime.Milliseconds(), WaitMS: renewAfter.Milliseconds(),
	}
	first := leaser.exchange(ctx, http.MethodPut, base, request)
	switch {
	case first.err != nil && !first.sent:
		return NotStarted{detail: first.err.Error()}
	case first.err == nil && first.code == http.StatusServiceUnavailable:
		return NotStarted{detail: "worker takes no more tasks", leaving: first.closing}
	case first.err == nil && first.code == http.StatusTooManyRequests:
		return NotStarted{detail: "worker has no room"}
	case first.err == nil && first.code != http.StatusOK:
		return TaskFailed{status: LeaseStatus{State: Failed, Detail: http.StatusText(first.code)}}
	}
	return leaser.follow(ctx, base, first)
}

// Usage returns what runs on the worker at address, as the worker reports it.
func (leaser *Leaser) Usage(ctx context.Context, address string) (UsageReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/usage", nil)
	if err != nil {
		return UsageReport{}, eris.Wrap(err, "preparing a usage request")
	}
	response, err := leaser.client.Do(request)
	if err != nil {
		return UsageReport{}, eris.Wrap(err, "asking for usage")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return UsageReport{}, eris.Errorf("the worker answered %s", response.Status)
	}
	var report UsageReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&report)
	return report, eris.Wrap(err, "decoding usage")
}

// follow renews the lease until the worker reports an end. After a lost answer to the start it asks for the
// state instead of starting again: the worker may know the lease.
func (leaser *Leaser) follow(ctx context.Context, base string, last answer) Result {
	request := LeaseRequest{LeaseMS: leaseTime.Milliseconds(), WaitMS: renewAfter.Milliseconds()}
	for {
		if result, ok := last.ending(); ok {
			return result
		}
		if last.err != nil && !sleeper.For(ctx, retryDelay) || ctx.Err() != nil {
			return Lost{detail: last.describe()}
		}
		last = leaser.exchange(ctx, http.MethodPost, base+"/renew", request)
	}
}

// ending returns the end of the task if the worker reported one.
func (answer answer) ending() (Result, bool) {
	switch {
	case answer.err != nil:
		return nil, false
	case answer.code == http.StatusNotFound:
		// The start may still be on its way to the worker, so this is no proof that the task did not start.
		return Lost{detail: "worker does not know the lease"}, true
	case answer.code != http.StatusOK:
		return Lost{detail: http.StatusText(answer.code)}, true
	}
	switch answer.status.State {
	case Finished:
		return Completed{status: answer.status}, true
	case Failed, Stopped, Lapsed:
		return TaskFailed{status: answer.status}, true
	default:
		return nil, false
	}
}

func (answer answer) describe() string {
	if answer.err != nil {
		return answer.err.Error()
	}
	return "the deadline passed while the task was running"
}

func (leaser *Leaser) exchange(ctx context.Context, method, url string, body LeaseRequest) answer {
	encoded, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	// A body without GetBody keeps net/http from sending the request again on a stale connection.
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, io.NopCloser(bytes.NewReader(encoded)))
	if err != nil {
		return answer{err: err}
	}
	request.ContentLength = int64(len(encoded))
	response, err := leaser.client.Do(request)
	if err != nil {
		return answer{err: err, sent: sent.Load()}
	}
	defer response.Body.Close()
	result := answer{code: response.StatusCode, closing: response.Close, sent: true}
	if response.StatusCode == http.StatusOK {
		result.err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&result.status)
	}
	return result
}
