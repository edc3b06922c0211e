package main

import (
	"bytes"
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

// phase is a step of a job.
type phase struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstRuntimeMS  int    `json:"estRuntimeMs"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
}

// newID returns the ID of a job.
func newID() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// answer is the answer to a call of a client; status 0 means that there was none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call sends a request of a client on a channel of its own.
func (deployment *deployment) call(method string, to *instance, path string, body []byte, wait time.Duration) answer {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", to.ip, deployment.ports.frontend, path), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "q.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	deployment.record.line("client: %s %s to %s", method, path, to.name)
	response, err := client.Do(request)
	if err != nil {
		deployment.record.line("client: %s %s at %s gets no answer: %v", method, path, to.name, err)
		return answer{at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	deployment.record.line("client: %s %s at %s gets %d %s", method, path, to.name, response.StatusCode, data)
	return answer{response.StatusCode, string(data), time.Now()}
}

// submit sends a job that need not be kept, of which each task works for the given time, and waits for its answer.
func (deployment *deployment) submit(to *instance, id string, work, wait time.Duration, phases ...phase) answer {
	return deployment.call(http.MethodPost, to, "/q/"+id, encodeJob(work, phases), wait)
}

// encodeJob returns the body of a job.
func encodeJob(work time.Duration, phases []phase) []byte {
	cpu := int64(0)
	for i := range phases {
		phases[i].EstRuntimeMS = int(work.Milliseconds())
		cpu = max(cpu, phases[i].CPU)
	}
	body, err := json.Marshal(map[string]any{"spec": fmt.Sprintf("%d %d", work.Milliseconds(), cpu), "phases": phases, "bestEffort": true})
	if err != nil {
		panic(err)
	}
	return body
}

// submitAndReset sends a job like submit. Its channel is reset after some time.
func (deployment *deployment) submitAndReset(to *instance, id string, work, wait, after time.Duration, phases ...phase) {
	channel, err := net.Dial("tcp", net.JoinHostPort(to.ip, strconv.Itoa(deployment.ports.frontend)))
	if err != nil {
		deployment.record.line("client: cannot connect to %s: %v", to.name, err)
		return
	}
	deployment.record.line("client: POST /q/%s to %s", id, to.name)
	deployment.writeJob(channel, id, wait, encodeJob(work, phases))
	time.Sleep(after)
	_ = channel.(*net.TCPConn).SetLinger(0)
	_ = channel.Close()
	deployment.record.line("client: the channel of %s at %s is reset", id, to.name)
}

// writeJob writes the request that hands a job in.
func (deployment *deployment) writeJob(channel net.Conn, id string, wait time.Duration, body []byte) {
	_, err := fmt.Fprintf(channel, "POST /q/%s HTTP/1.1\r\nHost: q.example\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, wait.Milliseconds(), len(body), body)
	if err != nil {
		deployment.record.line("client: %s cannot be sent: %v", id, err)
	}
}

// cancel cancels a job.
func (deployment *deployment) cancel(to *instance, id string) answer {
	return deployment.call(http.MethodDelete, to, "/q/"+id, nil, 4*time.Second)
}
