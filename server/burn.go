package server

import (
	"time"

	"github.com/hyssoplift/hyssoplift/accountant"
	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/reporter"
)

// maxBurnSeries is the maximum number of pairs of kind and team that an instance counts separately per minute.
const maxBurnSeries = 1200

// newAccountant returns the accountant that appends this instance's burn counts to the log.
func (server *Server) newAccountant(retention time.Duration, maxRecords int) *accountant.Accountant {
	return accountant.New(reporter.Config{
		Domain:      server.domain(),
		Instance:    server.self.Name,
		Incarnation: server.self.Incarnation,
		Retention:   retention,
		MaxKeys:     maxRecords,
		MaxSeries:   maxBurnSeries,
	}, server.log, server.logger)
}

// setObjectives makes the accountant measure answers against the objectives of bundle from now on.
func (server *Server) setObjectives(bundle *bundler.Bundle) {
	objectives := make(map[string]reporter.Objective)
	for _, kind := range bundle.Kinds() {
		stated, ok := bundle.Objective(kind.Name())
		if !ok {
			continue
		}
		objective, err := reporter.NewObjective(stated.Within(), stated.TargetPercent())
		if err != nil {
			server.logger.Error("objective ignored", "kind", kind.Name(), "error", err.Error())
			continue
		}
		objectives[kind.Name()] = objective
	}
	server.accountant.SetObjectives(objectives)
}

// countAnswer counts an answer that was written to its caller. An unknown outcome is counted as unclaimed, because a
// resubmission by the caller may yield a known one.
func (server *Server) countAnswer(exchange *exchange, request *request, outcome dispatcher.Outcome) {
	if exchange.writeErr != nil || exchange.request.Context().Err() != nil {
		return
	}
	now := time.Now()
	grant := request.countGrant
	if _, unknown := outcome.(dispatcher.Unknown); unknown {
		grant = reporter.Undecided
	}
	server.accountant.Record(reporter.NewAnswer(exchange.job, outcome, now.Sub(exchange.received), grant), now)
}

// grantCount reports whether the instance to which the caller sent the request may count it.
func (server *Server) grantCount(request *request) bool {
	if request.countGrant != reporter.KeyOwner {
		// The owner is another instance, which has already decided.
		return request.countGrant == reporter.Granted
	}
	return request.origin != "" && server.accountant.GrantCount(request.job.Key(), request.origin, time.Now())
}

// burnHandler returns the handler of the burn report.
func (server *Server) burnHandler() handler {
	burn := accountant.Handler(server.log)
	return func(exchange *exchange) { burn.ServeHTTP(exchange, exchange.request) }
}
