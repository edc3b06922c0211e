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
	// leaseDuration is the validity of the lease that each start and each renewal requests.
	leaseDuration = 10 * time.Second
	// renewInterval is short enough that the lease survives one lost renewal.
	renewInterval = 3 * time.Second
	// renewTimeout bounds one request, so that an unresponsive connection is abandoned while the lease is still valid.
	renewTimeout = renewInterval + time.Second
	// retryDelay is the delay between renewals while the worker cannot be reached.
	retryDelay = 100 * time.Millisecond
	// idleTimeout bounds the reuse of idle connections, which may have been dropped without notice.
	idleTimeout    = 5 * time.Second
	maxStatusBytes = 2 << 20
)

// Result is the result of running a task: Completed, TaskFailed, NotStarted or Lost.
type Result interface{ isResult() }

// Completed means that the task finished and returned a value.
type Completed struct{ status LeaseStatus }

// TaskFailed means that the worker reported that the task failed, was stopped or ran past the end of its lease.
type TaskFailed struct{ status LeaseStatus }

// NotStarted means that the task provably did not start.
type NotStarted struct {
	detail  string
	leaving bool
}

// Lost means that the task may have started and that its result is not known.
type Lost struct{ detail string }

func (Completed) isResult()  {}
func (TaskFailed) isResult() {}
func (NotStarted) isResult() {}
func (Lost) isResult()       {}

// Result returns the JSON value that the task returned.
func (completed Completed) Result() json.RawMessage { return completed.status.Result }

// PlacerResult returns the result that the placer needs to learn the resources of the task.
func (completed Completed) PlacerResult() placer.Result { return placerResult(completed.status) }

// Detail describes the failure.
func (taskFailed TaskFailed) Detail() string {
	return fmt.Sprintf("worker reports %s: %s", taskFailed.status.State, taskFailed.status.Detail)
}

// PlacerResult returns the result that the placer needs to learn the resources of the task.
func (taskFailed TaskFailed) PlacerResult() placer.Result { return placerResult(taskFailed.status) }

// Detail returns why the task did not start.
func (notStarted NotStarted) Detail() string { return notStarted.detail }

// Leaving reports whether the worker is shutting down and accepts no more tasks.
func (notStarted NotStarted) Leaving() bool { return notStarted.leaving }

// Detail returns why the result is not known.
func (lost Lost) Detail() string { return lost.detail }

// placerResult converts the worker's report to a result for the placer.
func placerResult(status LeaseStatus) placer.Result {
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

// New returns a leaser with its own connection pool.
func New() *Leaser {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
	}
	return &Leaser{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect disables redirects, because following one could start the task a second time elsewhere.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// reply is the outcome of one request to the worker.
type reply struct {
	status           LeaseStatus
	statusCode       int
	closesConnection bool
	// sent reports whether a connection was obtained, so that the request may have reached the worker.
	sent bool
	err  error
}

// Run starts task on the worker at address under a lease for resources, and renews the lease until the task ends or ctx
// is done. It starts the task at most once.
func (leaser *Leaser) Run(ctx context.Context, address, kind string, resources placer.Resources, task dispatcher.Task) Result {
	base := fmt.Sprintf("http://%s/leases/%s", address, uuid.NewString())
	request := LeaseRequest{
		Kind: kind, Payload: task.Payload(), Resources: resources,
		LeaseMS: leaseDuration.Milliseconds(), WaitMS: renewInterval.Milliseconds(),
	}
	first := leaser.exchange(ctx, http.MethodPut, base, request)
	switch {
	case first.err != nil && !first.sent:
		return NotStarted{detail: first.err.Error()}
	case first.err == nil && first.statusCode == http.StatusServiceUnavailable:
		return NotStarted{detail: "worker takes no more tasks", leaving: first.closesConnection}
	case first.err == nil && first.statusCode == http.StatusTooManyRequests:
		return NotStarted{detail: "worker has no room"}
	case first.err == nil && first.statusCode != http.StatusOK:
		return TaskFailed{status: LeaseStatus{State: Failed, Detail: http.StatusText(first.statusCode)}}
	}
	return leaser.renewUntilEnd(ctx, base, first)
}

// Usage returns the resource usage that the worker at address reports.
func (leaser *Leaser) Usage(ctx context.Context, address string) (UsageReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/usage", nil)
	if err != nil {
		return UsageReport{}, eris.Wrap(err, "creating a usage request")
	}
	response, err := leaser.client.Do(request)
	if err != nil {
		return UsageReport{}, eris.Wrap(err, "requesting usage")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return UsageReport{}, eris.Errorf("requesting usage: unexpected status %s", response.Status)
	}
	var report UsageReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&report)
	return report, eris.Wrap(err, "decoding usage")
}

// renewUntilEnd renews the lease until the worker reports that the task has ended. After a lost response to the start
// it requests the state instead of starting the task again, because the worker may already hold the lease.
func (leaser *Leaser) renewUntilEnd(ctx context.Context, base string, last reply) Result {
	request := LeaseRequest{LeaseMS: leaseDuration.Milliseconds(), WaitMS: renewInterval.Milliseconds()}
	for {
		if result, ok := last.result(); ok {
			return result
		}
		if last.err != nil && !sleeper.For(ctx, retryDelay) || ctx.Err() != nil {
			return Lost{detail: last.failureDetail()}
		}
		last = leaser.exchange(ctx, http.MethodPost, base+"/renew", request)
	}
}

// result returns the result of the task if the reply determines it.
func (reply reply) result() (Result, bool) {
	switch {
	case reply.err != nil:
		return nil, false
	case reply.statusCode == http.StatusNotFound:
		// The start request may still be in transit, so this does not prove that the task did not start.
		return Lost{detail: "worker does not know the lease"}, true
	case reply.statusCode != http.StatusOK:
		return Lost{detail: http.StatusText(reply.statusCode)}, true
	}
	switch reply.status.State {
	case Finished:
		return Completed{status: reply.status}, true
	case Failed, Stopped, Lapsed:
		return TaskFailed{status: reply.status}, true
	default:
		return nil, false
	}
}

// failureDetail describes why the result of the task is not known.
func (reply reply) failureDetail() string {
	if reply.err != nil {
		return reply.err.Error()
	}
	return "the deadline passed while the task was running"
}

// exchange sends one lease request, bounded by renewTimeout.
func (leaser *Leaser) exchange(ctx context.Context, method, url string, body LeaseRequest) reply {
	encoded, err := json.Marshal(body)
	if err != nil {
		return reply{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	// Without GetBody, net/http cannot send the request again on another connection when the first is stale.
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, io.NopCloser(bytes.NewReader(encoded)))
	if err != nil {
		return reply{err: err}
	}
	request.ContentLength = int64(len(encoded))
	response, err := leaser.client.Do(request)
	if err != nil {
		return reply{err: err, sent: sent.Load()}
	}
	defer response.Body.Close()
	result := reply{statusCode: response.StatusCode, closesConnection: response.Close, sent: true}
	if response.StatusCode == http.StatusOK {
		result.err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&result.status)
	}
	return result
}
