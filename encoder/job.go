package encoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// DefaultTimeout is the timeout of a job whose request states none.
const DefaultTimeout = 10 * time.Second

// MaxTimeout is the longest timeout that a caller may request.
const MaxTimeout = 10 * time.Minute

// JobRequest is the JSON body of POST /v1/jobs.
type JobRequest struct {
	Kind string `json:"kind"`
	Team string `json:"team"`
	// TimeoutMS is in milliseconds. It is relative, because the clocks of callers may be wrong.
	TimeoutMS *int64        `json:"timeout-ms,omitempty"`
	Tasks     []TaskRequest `json:"tasks"`
}

// TaskRequest is one task of a JobRequest.
type TaskRequest struct {
	Name    string          `json:"name"`
	Payload json.RawMessage `json:"payload"`
}

// JobLine is one line of a file of jobs: a JobRequest and an optional idempotency key.
type JobLine struct {
	Key string `json:"key,omitempty"`
	JobRequest
}

// FieldError describes an invalid field of a request.
type FieldError struct {
	field  string
	detail string
}

// Field returns the path of the field at fault, such as tasks[3].name.
func (fieldError *FieldError) Field() string { return fieldError.field }

// Error returns the path of the field and what is wrong with it.
func (fieldError *FieldError) Error() string { return fieldError.field + ": " + fieldError.detail }

func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{field: field, detail: fmt.Sprintf(format, args...)}
}

// DecodeJob returns the job in body with the given idempotency key, or the first error found. The deadline is the
// request's timeout after now.
func DecodeJob(body []byte, key string, maxTasks int, now time.Time) (dispatcher.Job, *FieldError) {
	var request JobRequest
	if fieldError := decodeStrict(body, &request); fieldError != nil {
		return dispatcher.Job{}, fieldError
	}
	if fieldError := checkText("Idempotency-Key", key, true); fieldError != nil {
		return dispatcher.Job{}, fieldError
	}
	return request.job(key, maxTasks, now)
}

// DecodeJobLine returns the job in one line of a file, or the first error found. The deadline is the line's timeout
// after now.
func DecodeJobLine(text []byte, now time.Time) (dispatcher.Job, *FieldError) {
	var line JobLine
	if fieldError := decodeStrict(text, &line); fieldError != nil {
		return dispatcher.Job{}, fieldError
	}
	if fieldError := checkText("key", line.Key, true); fieldError != nil {
		return dispatcher.Job{}, fieldError
	}
	return line.job(line.Key, dispatcher.MaxTasks, now)
}

func (request JobRequest) job(key string, maxTasks int, now time.Time) (dispatcher.Job, *FieldError) {
	if fieldError := checkText("kind", request.Kind, false); fieldError != nil {
		return dispatcher.Job{}, fieldError
	}
	if fieldError := checkText("team", request.Team, false); fieldError != nil {
		return dispatcher.Job{}, fieldError
	}
	timeout := DefaultTimeout
	if request.TimeoutMS != nil {
		if *request.TimeoutMS < 1 || *request.TimeoutMS > MaxTimeout.Milliseconds() {
			return dispatcher.Job{}, fieldErrorf("timeout-ms", "got %d, allowed are 1 to %d", *request.TimeoutMS, MaxTimeout.Milliseconds())
		}
		timeout = time.Duration(*request.TimeoutMS) * time.Millisecond
	}
	tasks, fieldError := decodeTasks(request.Tasks, maxTasks)
	if fieldError != nil {
		return dispatcher.Job{}, fieldError
	}
	return dispatcher.NewJob(key, request.Kind, request.Team, now.Add(timeout), tasks), nil
}

func decodeTasks(requests []TaskRequest, maxTasks int) ([]dispatcher.Task, *FieldError) {
	if len(requests) < 1 || len(requests) > maxTasks {
		return nil, fieldErrorf("tasks", "got %d tasks, allowed are 1 to %d", len(requests), maxTasks)
	}
	seen := make(map[string]bool, len(requests))
	tasks := make([]dispatcher.Task, len(requests))
	for i, request := range requests {
		field := fmt.Sprintf("tasks[%d].name", i)
		if fieldError := checkText(field, request.Name, false); fieldError != nil {
			return nil, fieldError
		}
		if seen[request.Name] {
			return nil, fieldErrorf(field, "name %q is used twice", request.Name)
		}
		seen[request.Name] = true
		tasks[i] = dispatcher.NewTask(request.Name, compactPayload(request.Payload))
	}
	return tasks, nil
}

// compactPayload removes white space between the tokens of payload, which must be valid JSON. A job that is submitted
// again with different formatting is the same job and must have the same digest. An absent payload becomes null.
func compactPayload(payload json.RawMessage) json.RawMessage {
	if len(payload) == 0 {
		return json.RawMessage("null")
	}
	if !bytes.ContainsAny(payload, " \t\r\n") {
		return payload
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, payload); err != nil {
		panic(eris.Wrap(err, "compacting a decoded payload"))
	}
	return compact.Bytes()
}

// EncodeJob returns the body of POST /v1/jobs for job. The timeout is the time from now to the job's deadline.
func EncodeJob(job dispatcher.Job, now time.Time) ([]byte, error) {
	timeoutMS := max(job.Deadline().Sub(now).Milliseconds(), 1)
	request := JobRequest{Kind: job.Kind(), Team: job.Team(), TimeoutMS: &timeoutMS}
	for _, task := range job.Tasks() {
		request.Tasks = append(request.Tasks, TaskRequest{Name: task.Name(), Payload: task.Payload()})
	}
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	// HTML escaping would change the bytes of the payloads, and with them the job's digest.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(request); err != nil {
		return nil, eris.Wrap(err, "encoding job")
	}
	return body.Bytes(), nil
}

// decodeStrict decodes body into value; it rejects unknown fields and data after the JSON value.
func decodeStrict(body []byte, value any) *FieldError {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return jsonFieldError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fieldErrorf("body", "has data after the JSON value")
	}
	return nil
}

// jsonFieldError converts an error of package json to a FieldError.
func jsonFieldError(err error) *FieldError {
	switch err := err.(type) {
	case *json.UnmarshalTypeError:
		field := err.Field
		if field == "" {
			field = "body"
		}
		return fieldErrorf(field, "got a JSON %s, expected %s", err.Value, err.Type)
	case *json.SyntaxError:
		return fieldErrorf("body", "is not valid JSON at byte %d", err.Offset)
	default:
		if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			field := strings.Trim(name, `"`)
			if field == "" {
				return fieldErrorf("body", "has a field with an empty name")
			}
			return fieldErrorf(field, "is not a known field")
		}
		return fieldErrorf("body", "%v", err)
	}
}

// checkText checks that text is at most dispatcher.MaxNameBytes of printable ASCII without spaces, which is safe in
// URLs, headers and log lines.
func checkText(field, text string, mayBeEmpty bool) *FieldError {
	if text == "" && !mayBeEmpty {
		return fieldErrorf(field, "is missing")
	}
	if len(text) > dispatcher.MaxNameBytes {
		return fieldErrorf(field, "has %d bytes, allowed are at most %d", len(text), dispatcher.MaxNameBytes)
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return fieldErrorf(field, "has a byte at position %d that is not printable ASCII", i)
		}
	}
	return nil
}
