package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

func newID() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// newJob makes a job that need not be kept.
func (world *world) newJob(spec string, phases ...phase) *job {
	made := &job{id: newID(), spec: spec, phases: phases, body: map[string]any{"spec": spec, "phases": phases, "bestEffort": true}}
	world.mu.Lock()
	defer world.mu.Unlock()
	world.jobs[made.id] = made
	return made
}

// call sends a request of a client on a channel of its own and returns the status, or 0 after no response.
func (world *world) call(ctx context.Context, method string, node *node, path string, body any, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.frontend+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// submit sends a job to a node once and returns the status and the body of the response.
func (world *world) submit(job *job, queue int, node *node, wait time.Duration) (int, string) {
	world.record.line("client: POST job %s to %s", job.id, node.name)
	status, answer := world.call(context.Background(), http.MethodPost, node, fmt.Sprintf("/q%d/%s", queue, job.id), job.body, wait)
	world.record.line("client: POST job %s to %s is answered %d %s", job.id, node.name, status, answer)
	return status, answer
}

// cancel sends the cancelling of a job to a node and returns the status.
func (world *world) cancel(job *job, queue int, node *node) int {
	world.record.line("client: DELETE job %s at %s", job.id, node.name)
	status, answer := world.call(context.Background(), http.MethodDelete, node, fmt.Sprintf("/q%d/%s", queue, job.id), nil, 2*time.Second)
	world.record.line("client: DELETE job %s at %s is answered %d %s", job.id, node.name, status, answer)
	if status >= 200 && status < 300 || status == http.StatusGone {
		world.mu.Lock()
		job.cancelled = time.Now()
		world.mu.Unlock()
	}
	return status
}
