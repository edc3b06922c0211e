package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/keeper"
)

const (
	keyHeader         = "Idempotency-Key"
	prefixHeader      = "Hyssoplift-Key-Prefix"
	traceParentHeader = "Traceparent"
)

// exchange is one HTTP request on its way through the filters, with its response.
type exchange struct {
	http.ResponseWriter
	request  *http.Request
	received time.Time
	status   int
	// body and the fields below are set by the filters in the order of the chain.
	body        []byte
	key         string
	traceParent string
	job         dispatcher.Job
	bundle      *bundler.Bundle
	outcome     string
	// writeErr is the first error of a write to the caller.
	writeErr error
}

// WriteHeader records the status and sends it.
func (exchange *exchange) WriteHeader(status int) {
	if exchange.status == 0 {
		exchange.status = status
	}
	exchange.ResponseWriter.WriteHeader(status)
}

// Write sends part of the body, with status 200 if none was sent before.
func (exchange *exchange) Write(data []byte) (int, error) {
	if exchange.status == 0 {
		exchange.status = http.StatusOK
	}
	n, err := exchange.ResponseWriter.Write(data)
	if exchange.writeErr == nil {
		exchange.writeErr = err
	}
	return n, err
}

// answer writes the outcome of the job under the exchange's key.
func (exchange *exchange) answer(outcome dispatcher.Outcome) {
	exchange.outcome = dispatcher.OutcomeClass(outcome)
	encoder.EncodeOutcome(exchange.key, outcome, time.Now()).Write(exchange)
}

// refuse responds that the job was not run because field is invalid under any bundle.
func (exchange *exchange) refuse(reason dispatcher.Reason, field, detail string) {
	exchange.answer(dispatcher.NewRefused(reason, detail, field, time.Time{}))
}

// handler responds to an exchange.
type handler func(exchange *exchange)

// filter wraps a handler. The filter either responds to the exchange itself or passes it on.
type filter func(next handler) handler

// chain returns last wrapped in filters, of which the first is outermost.
func chain(last handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// methods serves one path. It maps HTTP methods to handlers.
type methods map[string]handler

// ServeHTTP calls the handler of the request's method, or responds with a problem and the allowed methods.
func (methods methods) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &exchange{ResponseWriter: writer, request: request, received: time.Now()}
	if handle, ok := methods[request.Method]; ok {
		handle(exchange)
		return
	}
	methods.methodNotAllowed()(exchange)
}

// methodNotAllowed returns the handler for a method that the path does not have.
func (methods methods) methodNotAllowed() handler {
	return func(exchange *exchange) {
		for method := range methods {
			exchange.Header().Add("Allow", method)
		}
		writeProblem(exchange, problem{status: http.StatusMethodNotAllowed, kind: "method", title: "The path does not have this method", field: "method", notRun: true})
	}
}

// recoverPanics responds to a request whose handler panicked. It makes no claim about what the handler had started.
func (server *Server) recoverPanics(next handler) handler {
	return func(exchange *exchange) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			server.meter.panics.Inc()
			server.logger.Error("handler panicked", "job", exchange.key, "path", exchange.request.URL.Path,
				"cause", eris.Errorf("%v", cause).Error(), "stack", string(debug.Stack()))
			if exchange.status == 0 {
				writeProblem(exchange, problem{status: http.StatusInternalServerError, kind: "internal", title: "The instance failed while it served the request"})
			}
		}()
		next(exchange)
	}
}

// logRequests counts and logs each response. Successful ones are logged at debug level because there are thousands per
// second.
func (server *Server) logRequests(next handler) handler {
	return func(exchange *exchange) {
		next(exchange)
		took := time.Since(exchange.received)
		server.meter.countRequest(exchange.outcome, took)
		if exchange.status < http.StatusBadRequest && !server.logger.IsDebug() {
			return
		}
		log := server.logger.Info
		if exchange.status < http.StatusBadRequest {
			log = server.logger.Debug
		}
		log("request answered", "job", exchange.key, "method", exchange.request.Method, "path", exchange.request.URL.Path,
			"kind", exchange.job.Kind(), "team", exchange.job.Team(), "status", exchange.status, "outcome", exchange.outcome,
			"took-us", took.Microseconds(), "traceparent", exchange.traceParent)
	}
}

// setHeaders sets the headers that every response carries.
func (server *Server) setHeaders(next handler) handler {
	return func(exchange *exchange) {
		exchange.Header().Set(prefixHeader, server.keyPrefix())
		if server.drainer.started() {
			// Callers with keep-alive connections move to another instance while this one still responds.
			exchange.Header().Set("Connection", "close")
		}
		next(exchange)
	}
}

// readTraceParent stores a well-formed traceparent and ignores others, as required by W3C Trace Context.
func (server *Server) readTraceParent(next handler) handler {
	return func(exchange *exchange) {
		if text := exchange.request.Header.Get(traceParentHeader); validTraceParent(text) {
			exchange.traceParent = text
		}
		next(exchange)
	}
}

// readBody reads the whole body, up to the configured maximum.
func (server *Server) readBody(next handler) handler {
	limit := server.settings.Count("max-body-bytes")
	return func(exchange *exchange) {
		if exchange.request.ContentLength > limit {
			exchange.refuse(dispatcher.ReasonTooLarge, "body", "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
			return
		}
		buffer := bodyBuffers.Get().(*bytes.Buffer)
		defer releaseBodyBuffer(buffer)
		if _, err := io.Copy(buffer, http.MaxBytesReader(exchange.ResponseWriter, exchange.request.Body, limit)); err != nil {
			reason := dispatcher.ReasonInvalid
			if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
				reason = dispatcher.ReasonTooLarge
			}
			exchange.refuse(reason, "body", err.Error())
			return
		}
		exchange.body = buffer.Bytes()
		next(exchange)
	}
}

// maxKeptBodyBytes is the largest body buffer that is reused for another request.
const maxKeptBodyBytes = 64 << 10

var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func releaseBodyBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxKeptBodyBytes {
		buffer.Reset()
		bodyBuffers.Put(buffer)
	}
}

// decodeJob decodes and validates the body as a job.
func (server *Server) decodeJob(next handler) handler {
	return func(exchange *exchange) {
		if keys := exchange.request.Header.Values(keyHeader); len(keys) > 1 {
			exchange.refuse(dispatcher.ReasonInvalid, keyHeader, keyHeader+": is given more than once")
			return
		}
		key := exchange.request.Header.Get(keyHeader)
		if len(key) <= dispatcher.MaxNameBytes {
			// Set early so that the response to an invalid body and its log line name the job.
			exchange.key = key
		}
		job, fieldError := encoder.DecodeJob(exchange.body, key, dispatcher.MaxTasks, exchange.received)
		if fieldError != nil {
			exchange.refuse(dispatcher.ReasonInvalid, fieldError.Field(), fieldError.Error())
			return
		}
		if job.Key() != "" {
			if _, err := keeper.ParseKey(job.Key()); err != nil {
				exchange.refuse(dispatcher.ReasonInvalid, keyHeader, err.Error())
				return
			}
		}
		// The decoder has copied what the job keeps, so the buffer may be reused.
		exchange.body = nil
		exchange.job = job
		next(exchange)
	}
}

// attachBundle attaches the bundle in force to the request, which keeps it until the response.
func (server *Server) attachBundle(next handler) handler {
	return func(exchange *exchange) {
		exchange.bundle = server.bundle.Load()
		next(exchange)
	}
}

// validTraceParent reports whether text is a traceparent of version 00 whose IDs are not zero.
func validTraceParent(text string) bool {
	if len(text) != 55 || text[:3] != "00-" || text[35] != '-' || text[52] != '-' {
		return false
	}
	return validID(text[3:35]) && validID(text[36:52]) && isHex(text[53:55])
}

func validID(text string) bool {
	for i := range len(text) {
		if text[i] != '0' {
			return isHex(text)
		}
	}
	return false
}

func isHex(text string) bool {
	for i := range len(text) {
		if char := text[i]; (char < '0' || char > '9') && (char < 'a' || char > 'f') {
			return false
		}
	}
	return true
}
