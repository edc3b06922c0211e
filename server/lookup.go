package server

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

// lookupTimeout bounds a lookup or a cancellation. Neither waits for a job to end.
const lookupTimeout = 5 * time.Second

// Job states in the response to a lookup.
const (
	stateAnswered = "answered"
	stateRunning  = "running"
	stateNoRecord = "no-record"
)

// Results of a cancellation.
const (
	resultCancelled = "cancelled"
	resultTooLate   = "too-late"
	resultUnknown   = "unknown"
)

// JobState is the JSON body of GET /v1/jobs/{key} while the job has no outcome.
type JobState struct {
	Key   string `json:"key"`
	State string `json:"state"`
}

// readKey reads the key from the path.
func (server *Server) readKey(next handler) handler {
	return func(exchange *exchange) {
		exchange.key = exchange.request.PathValue("key")
		if _, err := keeper.ParseKey(exchange.key); err != nil {
			writeProblem(exchange, problem{status: http.StatusBadRequest, kind: "invalid", title: "The key is malformed", detail: err.Error(), field: "key"})
			return
		}
		next(exchange)
	}
}

func (server *Server) handleLookup(exchange *exchange) {
	ctx, cancel := context.WithTimeout(exchange.request.Context(), lookupTimeout)
	defer cancel()
	switch state, outcome := server.lookup(ctx, exchange.key, false, false); state {
	case stateAnswered:
		exchange.answer(outcome)
	case stateRunning:
		writeJSON(exchange, http.StatusAccepted, encoder.ContentTypeJSON, JobState{Key: exchange.key, State: state})
	default:
		writeProblem(exchange, problem{
			status: http.StatusNotFound, kind: stateNoRecord, title: "There is no record of the key",
			detail: "no job was submitted under the key, or its record has expired",
		})
	}
}

// lookup returns the state of a job, and its outcome if it has one. forwarded means that the request comes from an
// instance of this failure domain, foreign that it comes from another one.
func (server *Server) lookup(ctx context.Context, key string, forwarded, foreign bool) (string, dispatcher.Outcome) {
	var response linker.Response
	var err error
	decision := server.homeDecision(key, forwarded || foreign)
	var waiter *waiter
	if decision == nil {
		decision, waiter = server.findJob(key, forwarded)
	}
	switch decision := decision.(type) {
	case keeper.Answer:
		return stateAnswered, decision.Outcome
	case keeper.AnswerLost:
		return stateAnswered, dispatcher.NewFailed("the job started and its answer is lost", nil)
	case keeper.RetryLater:
		return stateAnswered, decision.Outcome
	case keeper.AwaitWitness, keeper.AwaitConfirmation:
		deadline, _ := ctx.Deadline()
		event, ok := server.keeperDriver.wait(waiter, deadline.Add(-decisionGrace))
		if outcome := eventOutcome(event, ok); outcome != nil {
			return stateAnswered, outcome
		}
		return stateAnswered, dispatcher.NewUnknown("the slice has another owner now; retry")
	case keeper.Running:
		return stateRunning, nil
	case keeper.Absent:
		return stateNoRecord, nil
	case keeper.Forward:
		response, err = server.linker.Call(ctx, decision.To.Incarnation, linker.Lookup{Key: key})
	case keeper.ForwardDomain:
		response, err = server.callDomain(ctx, decision.Domain, linker.Lookup{Key: key})
	default:
		panic(eris.Errorf("unexpected decision type %T", decision))
	}
	if err != nil {
		return stateAnswered, dispatcher.NewUnknown("the instance that decides this key gave no answer; retry")
	}
	answer := response.(linker.LookupAnswer)
	if answer.Outcome == nil {
		return answer.State, nil
	}
	outcome, err := linker.DecodeOutcome(*answer.Outcome, time.Now())
	if err != nil {
		return stateAnswered, dispatcher.NewUnknown("the answer of the instance that decides this key cannot be read")
	}
	return answer.State, outcome
}

// homeDecision returns the decision on a plain key that the keeper is not asked about: to forward the request to the
// key's home, which is another failure domain, or an unknown outcome. It returns nil if the keeper decides. received
// means that another instance sent the request, which is then not forwarded again.
func (server *Server) homeDecision(key string, received bool) keeper.Decision {
	parsed, err := keeper.ParseKey(key)
	bundle := server.bundle.Load()
	if err != nil || parsed.Form() != keeper.PlainKey {
		return nil
	}
	if bundle == nil {
		return keeper.Answer{Outcome: dispatcher.NewUnknown("no bundle is in force yet; retry")}
	}
	home := keeper.HomeDomain(key, bundle.FailureDomains())
	switch {
	case home == server.domain():
		return nil
	case received:
		return keeper.Answer{Outcome: dispatcher.NewUnknown("the instances disagree on the home of the key; retry")}
	default:
		return keeper.ForwardDomain{Domain: home}
	}
}

func (server *Server) handleCancel(exchange *exchange) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(exchange.request.Context()), lookupTimeout)
	defer cancel()
	switch server.cancel(ctx, exchange.key, false, false) {
	case resultCancelled:
		exchange.outcome = "refused"
		answer := encoder.NewAnswer(exchange.key, cancelledRefusal())
		answer.Status = 0
		writeJSON(exchange, http.StatusOK, encoder.ContentTypeJSON, answer)
	case resultTooLate:
		writeProblem(exchange, problem{status: http.StatusConflict, kind: resultTooLate, title: "The job has started and cannot be cancelled"})
	default:
		exchange.answer(dispatcher.NewUnknown("it could not be determined whether the job is cancelled; retry"))
	}
}

// cancel cancels the job if it has not started, and returns the result.
func (server *Server) cancel(ctx context.Context, key string, forwarded, foreign bool) string {
	var waiter *waiter
	var response linker.Response
	var err error
	decision := server.homeDecision(key, forwarded || foreign)
	for retryUntil := time.Now().Add(undecidedTimeout); decision == nil; {
		decision, waiter = server.keeperDriver.decide(key, func() (keeper.Decision, []keeper.Outgoing) {
			return server.keeper.Cancel(key, forwarded, time.Now())
		})
		if _, undecided := decision.(keeper.RetryLater); undecided && time.Now().Before(retryUntil) {
			decision = nil
			sleeper.For(ctx, undecidedRetryDelay)
		}
	}
	switch decision := decision.(type) {
	case keeper.Answer:
		return cancelResult(decision.Outcome)
	case keeper.AlreadyStarted, keeper.AnswerLost:
		return resultTooLate
	case keeper.RetryLater:
		return resultUnknown
	case keeper.AwaitWitness, keeper.AwaitConfirmation, keeper.Joined:
		deadline, _ := ctx.Deadline()
		if event, ok := server.keeperDriver.wait(waiter, deadline.Add(-decisionGrace)); ok {
			return cancelEventResult(event)
		}
		return resultUnknown
	case keeper.Forward:
		response, err = server.linker.Call(ctx, decision.To.Incarnation, linker.Cancel{Key: key})
	case keeper.ForwardDomain:
		response, err = server.callDomain(ctx, decision.Domain, linker.Cancel{Key: key})
	default:
		panic(eris.Errorf("unexpected decision type %T", decision))
	}
	if err != nil {
		return resultUnknown
	}
	return response.(linker.CancelAnswer).Result
}

// cancelResult returns the result of a cancellation for a job with the given outcome.
func cancelResult(outcome dispatcher.Outcome) string {
	switch outcome := outcome.(type) {
	case dispatcher.Refused:
		if outcome.Reason() == dispatcher.ReasonCancelled {
			return resultCancelled
		}
		return resultUnknown
	case dispatcher.Unknown:
		return resultUnknown
	default:
		return resultTooLate
	}
}

// cancelEventResult returns the result of a cancellation that ended with event.
func cancelEventResult(event keeper.Event) string {
	switch event := event.(type) {
	case keeper.CancelConfirmed:
		return resultCancelled
	case keeper.RefusalConfirmed:
		return cancelResult(event.Refusal)
	case keeper.OutcomeKnown:
		return cancelResult(event.Outcome)
	case keeper.RefusalSuperseded:
		return cancelResult(event.Outcome)
	default:
		return resultUnknown
	}
}

// serveLookup responds to another instance's lookup.
func (server *Server) serveLookup(from linker.Hello, lookup linker.Lookup) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	own := from.Domain == server.domain()
	state, outcome := server.lookup(ctx, lookup.Key, own, !own)
	answer := linker.LookupAnswer{ID: lookup.ID, Key: lookup.Key, State: state}
	if outcome != nil {
		wire := linker.EncodeOutcome(outcome, time.Now())
		answer.Outcome = &wire
	}
	server.reply(from, answer)
}

// serveCancel performs a cancellation for another instance.
func (server *Server) serveCancel(from linker.Hello, cancel linker.Cancel) {
	ctx, stop := context.WithTimeout(context.Background(), lookupTimeout)
	defer stop()
	own := from.Domain == server.domain()
	server.reply(from, linker.CancelAnswer{ID: cancel.ID, Key: cancel.Key, Result: server.cancel(ctx, cancel.Key, own, !own)})
}

// reply sends a response to another instance.
func (server *Server) reply(to linker.Hello, message linker.Message) {
	if err := server.linker.Send(to.Incarnation, message); err != nil {
		server.logger.Warn("response to a peer request not sent", "peer", to.Name, "error", eris.ToString(err, false))
	}
}
