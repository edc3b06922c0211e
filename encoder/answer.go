package encoder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Content types of answers.
const (
	// ContentTypeJSON is the content type of a complete answer.
	ContentTypeJSON = "application/json"
	// ContentTypeProblem is the content type of a problem document (RFC 9457), the form of all other answers.
	ContentTypeProblem = "application/problem+json"
)

// problemTypePrefix is the prefix of the type of a problem document; the reason of a refusal or the outcome follows.
const problemTypePrefix = "urn:hyssoplift:problem:"

// Answer is the JSON body of an answer: a complete answer or a problem document. NotRun means that no task of the job
// has started or will start.
type Answer struct {
	Type    string                  `json:"type,omitempty"`
	Title   string                  `json:"title,omitempty"`
	Status  int                     `json:"status,omitempty"`
	Detail  string                  `json:"detail,omitempty"`
	Key     string                  `json:"key,omitempty"`
	Outcome string                  `json:"outcome"`
	NotRun  bool                    `json:"not-run"`
	Field   string                  `json:"field,omitempty"`
	Results []dispatcher.TaskResult `json:"results,omitempty"`
	Fates   []dispatcher.TaskFate   `json:"fates,omitempty"`
}

// Response is an HTTP response that carries an answer.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status code.
func (response Response) Status() int { return response.status }

// Header returns the HTTP headers.
func (response Response) Header() http.Header { return response.header }

// Body returns the JSON body.
func (response Response) Body() []byte { return response.body }

// Write sends the response.
func (response Response) Write(writer http.ResponseWriter) {
	for name, values := range response.header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(response.status)
	// A failed write means that the caller disconnected; the answer stays available under its key.
	_, _ = writer.Write(response.body)
}

// NewAnswer returns the answer that reports outcome for the job with the given key.
func NewAnswer(key string, outcome dispatcher.Outcome) Answer {
	answer := Answer{Key: key}
	switch outcome := outcome.(type) {
	case dispatcher.Complete:
		answer.Outcome = "complete"
		answer.Results = outcome.Results()
	case dispatcher.Failed:
		answer.Status = http.StatusBadGateway
		answer.Outcome = "failed"
		answer.Title = "The job started and did not finish"
		answer.Detail = outcome.Detail()
		answer.Fates = outcome.Fates()
	case dispatcher.Refused:
		answer.Status = refusalStatus(outcome.Reason())
		answer.Outcome = "refused"
		answer.NotRun = true
		answer.Type = problemTypePrefix + string(outcome.Reason())
		answer.Title = "The job was not run"
		answer.Detail = outcome.Detail()
		answer.Field = outcome.Field()
	case dispatcher.Unknown:
		answer.Status = http.StatusGatewayTimeout
		answer.Outcome = "unknown"
		answer.Title = "It is not known whether the job ran"
		answer.Detail = outcome.Detail()
	}
	if answer.Status != 0 && answer.Type == "" {
		answer.Type = problemTypePrefix + answer.Outcome
	}
	return answer
}

// EncodeOutcome returns the HTTP response that reports outcome for the job with the given key. The Retry-After header
// is relative to now.
func EncodeOutcome(key string, outcome dispatcher.Outcome, now time.Time) Response {
	answer := NewAnswer(key, outcome)
	response := Response{status: http.StatusOK, header: http.Header{"Content-Type": {ContentTypeJSON}}}
	if answer.Status != 0 {
		response.status = answer.Status
		response.header.Set("Content-Type", ContentTypeProblem)
	}
	if refused, ok := outcome.(dispatcher.Refused); ok && !refused.RetryAt().IsZero() {
		seconds := max(math.Ceil(refused.RetryAt().Sub(now).Seconds()), 1)
		response.header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	body, err := json.Marshal(answer)
	if err != nil {
		// Results are checked to be valid JSON when they are read from the targets.
		panic(eris.Wrap(err, "encoding answer"))
	}
	response.body = append(body, '\n')
	return response
}

// refusalStatus returns the HTTP status code for a refusal.
func refusalStatus(reason dispatcher.Reason) int {
	switch reason {
	case dispatcher.ReasonInvalid:
		return http.StatusBadRequest
	case dispatcher.ReasonUnknownKind:
		return http.StatusNotFound
	case dispatcher.ReasonKeyConflict, dispatcher.ReasonCancelled:
		return http.StatusConflict
	case dispatcher.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case dispatcher.ReasonImpossible:
		return http.StatusUnprocessableEntity
	case dispatcher.ReasonOverload:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// DecodeOutcome returns the outcome and the key in the body of an answer. The retryAfter argument is the value of the
// Retry-After header, relative to now.
func DecodeOutcome(body []byte, retryAfter string, now time.Time) (dispatcher.Outcome, string, error) {
	var answer Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, "", eris.Wrap(err, "decoding answer")
	}
	switch answer.Outcome {
	case "complete":
		return dispatcher.NewComplete(answer.Results), answer.Key, nil
	case "failed":
		return dispatcher.NewFailed(answer.Detail, answer.Fates), answer.Key, nil
	case "unknown":
		return dispatcher.NewUnknown(answer.Detail), answer.Key, nil
	case "refused":
		if !answer.NotRun {
			return nil, "", eris.New("answer has the outcome \"refused\", but not-run is false")
		}
		return decodeRefused(answer, retryAfter, now), answer.Key, nil
	default:
		return nil, "", eris.Errorf("answer has an unsupported outcome %q", answer.Outcome)
	}
}

func decodeRefused(answer Answer, retryAfter string, now time.Time) dispatcher.Refused {
	var retryAt time.Time
	if seconds, err := strconv.Atoi(retryAfter); err == nil && seconds >= 0 {
		retryAt = now.Add(time.Duration(seconds) * time.Second)
	}
	reason := dispatcher.ReasonUnavailable
	if len(answer.Type) > len(problemTypePrefix) {
		reason = dispatcher.Reason(answer.Type[len(problemTypePrefix):])
	}
	return dispatcher.NewRefused(reason, answer.Detail, answer.Field, retryAt)
}
