package server

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/starter"
)

const keyHeader = "Idempotency-Key"

func (server *Server) handleJob(writer http.ResponseWriter, request *http.Request) {
	now := time.Now()
	key := request.Header.Get(keyHeader)
	job, refused, ok := server.decode(writer, request, now)
	if !ok {
		encoder.EncodeOutcome(key, refused, now).Write(writer)
		return
	}
	if job.Key() == "" {
		job = job.WithKey(uuid.NewString())
	}
	// The job goes on when its caller has gone, so that a resubmission finds the answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(request.Context()), job.Deadline())
	defer cancel()
	outcome := server.run(ctx, job)
	server.count(job, outcome)
	encoder.EncodeOutcome(job.Key(), outcome, time.Now()).Write(writer)
}

func (server *Server) decode(writer http.ResponseWriter, request *http.Request, now time.Time) (dispatcher.Job, dispatcher.Refused, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, server.settings.Count("max-body-bytes")))
	if err != nil {
		reason := dispatcher.ReasonInvalid
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			reason = dispatcher.ReasonTooLarge
		}
		return dispatcher.Job{}, dispatcher.NewRefused(reason, err.Error(), "body", time.Time{}), false
	}
	job, fieldError := encoder.DecodeJob(body, request.Header.Get(keyHeader), dispatcher.MaxTasks, now)
	if fieldError != nil {
		return job, dispatcher.NewRefused(dispatcher.ReasonInvalid, fieldError.Error(), fieldError.Field(), time.Time{}), false
	}
	return job, dispatcher.Refused{}, true
}

func (server *Server) count(job dispatcher.Job, outcome dispatcher.Outcome) {
	name := "unknown"
	switch outcome.(type) {
	case dispatcher.Complete:
		name = "complete"
	case dispatcher.Failed:
		name = "failed"
	case dispatcher.Refused:
		name = "refused"
	}
	server.metrics.GetOrCreateCounter(`hyssoplift_jobs_total{outcome="` + name + `"}`).Inc()
	server.logger.Info("job answered", "job", job.Key(), "kind", job.Kind(), "team", job.Team(), "outcome", name)
}

// run starts every task of job once and returns the whole answer.
func (server *Server) run(ctx context.Context, job dispatcher.Job) dispatcher.Outcome {
	bundle := server.bundle.Load()
	if bundle == nil {
		return dispatcher.NewRefused(dispatcher.ReasonUnavailable, "no bundle is in force yet", "", time.Now().Add(time.Second))
	}
	kind, ok := bundle.Kind(job.Kind())
	if !ok {
		return dispatcher.NewRefused(dispatcher.ReasonUnknownKind, "the bundle in force has no such kind", "kind", time.Time{})
	}
	targets := server.targets(bundle, kind)
	if len(targets) == 0 {
		return dispatcher.NewRefused(dispatcher.ReasonUnavailable, "the failure domain has no target for the kind", "kind", time.Time{})
	}
	results := make([]starter.Result, len(job.Tasks()))
	var group sync.WaitGroup
	for i, task := range job.Tasks() {
		target := targets[rand.IntN(len(targets))]
		group.Go(func() { results[i] = server.starter.Start(ctx, target.Address(), kind.Name(), task) })
	}
	group.Wait()
	return combine(job, results)
}

func (server *Server) targets(bundle *bundler.Bundle, kind bundler.Kind) []bundler.Target {
	var targets []bundler.Target
	for _, target := range bundle.Targets() {
		if target.FailureDomain() == server.settings.Text("failure-domain") && target.Service() == kind.Service() {
			targets = append(targets, target)
		}
	}
	return targets
}

// combine returns a complete answer if every task succeeded, and otherwise a failed or refused one without results.
func combine(job dispatcher.Job, results []starter.Result) dispatcher.Outcome {
	finished := make([]dispatcher.TaskResult, 0, len(results))
	fates := make([]dispatcher.TaskFate, 0, len(results))
	started := false
	for i, result := range results {
		name := job.Tasks()[i].Name()
		fate := dispatcher.TaskFate{Name: name}
		switch result := result.(type) {
		case starter.Success:
			finished = append(finished, dispatcher.TaskResult{Name: name, Result: result.Result()})
			fate.Fate = dispatcher.Finished
		case starter.NotStarted:
			fate.Fate, fate.Detail = dispatcher.NotStarted, result.Detail()
		case starter.Rejected:
			fate.Fate, fate.Detail = dispatcher.TaskFailed, result.Detail()
		case starter.Lost:
			fate.Fate, fate.Detail = dispatcher.OutcomeUnknown, result.Detail()
		}
		started = started || fate.Fate != dispatcher.NotStarted
		fates = append(fates, fate)
	}
	switch {
	case len(finished) == len(results):
		return dispatcher.NewComplete(finished)
	case !started:
		return dispatcher.NewRefused(dispatcher.ReasonUnavailable, "no target could be reached", "", time.Now().Add(time.Second))
	default:
		return dispatcher.NewFailed("not every task finished", fates)
	}
}
