package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/encoder"
)

// problem is an error response that is not the outcome of a submitted job (RFC 9457).
type problem struct {
	status  int
	kind    string
	title   string
	detail  string
	field   string
	notRun  bool
	retryIn time.Duration
}

// writeProblem writes a problem document.
func writeProblem(exchange *exchange, problem problem) {
	outcome := "unknown"
	if problem.notRun {
		outcome = "refused"
	}
	exchange.outcome = outcome
	if problem.retryIn > 0 {
		exchange.Header().Set("Retry-After", strconv.Itoa(int(max(problem.retryIn/time.Second, 1))))
	}
	writeJSON(exchange, problem.status, encoder.ContentTypeProblem, encoder.Answer{
		Type:    "urn:hyssoplift:problem:" + problem.kind,
		Title:   problem.title,
		Status:  problem.status,
		Detail:  problem.detail,
		Key:     exchange.key,
		Outcome: outcome,
		NotRun:  problem.notRun,
		Field:   problem.field,
	})
}

func writeJSON(exchange *exchange, status int, contentType string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "encoding a response"))
	}
	exchange.Header().Set("Content-Type", contentType)
	exchange.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = exchange.Write(append(body, '\n'))
}

func (server *Server) handleNotFound(exchange *exchange) {
	writeProblem(exchange, problem{status: http.StatusNotFound, kind: "path", title: "The path does not exist", field: "path", notRun: true})
}
