package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// retransmit is after how long a job without an answer is sent again, as the settings say.
const retransmit = 1300 * time.Millisecond

// client submits one job and sends it again as the pages say.
type client struct {
	world *world
	id    string
	body  []byte
	// limit is how long the client waits for a response, from its first attempt.
	limit time.Duration
	// breakAfter, if set, is after how long the channel of a call breaks.
	breakAfter time.Duration
	first      time.Time
}

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstRuntimeMS  int64  `json:"estRuntimeMs"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
}

// newClient returns a client with a job of one step.
func (world *world) newClient(count int, work work, estimate, limit time.Duration) *client {
	return world.newClientWithSteps(work, []step{{Count: count, CPU: work.CPU, MemMB: 64, EstRuntimeMS: estimate.Milliseconds()}}, limit)
}

// newClientWithSteps returns a client with a job whose tasks all do the same work.
func (world *world) newClientWithSteps(work work, steps []step, limit time.Duration) *client {
	body, err := json.Marshal(map[string]any{"spec": work.spec(), "bestEffort": true, "phases": steps})
	if err != nil {
		panic(err)
	}
	return &client{world: world, id: fmt.Sprintf("%016x", rand.Uint64()), body: body, limit: limit}
}

// call sends a request for the client's job on a new channel to a machine, and returns the status, or 0 for none.
func (client *client) call(method string, machine *machine, body []byte, limit time.Duration) (int, string) {
	world := client.world
	wait := limit
	if client.breakAfter > 0 {
		wait = min(limit, client.breakAfter)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/plan/%s", machine.ip, world.ports[0], client.id), bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	// A request is not sent again by the library.
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	world.record.note("client of %s: %s to %s", client.id, method, machine.name)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		world.record.note("client of %s: %s to %s: no answer (%v)", client.id, method, machine.name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		world.record.note("client of %s: %s to %s: broken answer (%v)", client.id, method, machine.name, err)
		return 0, ""
	}
	text := strings.TrimSpace(string(answer))
	world.record.note("client of %s: %s to %s: %d %s", client.id, method, machine.name, response.StatusCode, text)
	return response.StatusCode, text
}

// submit submits the job to a machine; after no response, a broken channel, a 502 or a 504 it is sent again to the next
// machine whose instance runs. It returns the last status.
func (client *client) submit(machine *machine) int {
	client.first = time.Now()
	for {
		status, _ := client.call(http.MethodPost, machine, client.body, client.limit-time.Since(client.first))
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(retransmit)
		if client.limit-time.Since(client.first) <= 0 {
			return status
		}
		machine = client.world.next(machine)
	}
}

// attempts submits the job to a machine and sends it again as submit does, but waits for the whole limit anew at each of the
// given number of attempts.
func (client *client) attempts(machine *machine, number int) {
	for attempt := range number {
		if attempt > 0 {
			time.Sleep(retransmit)
			machine = client.world.next(machine)
		}
		status, _ := client.call(http.MethodPost, machine, client.body, client.limit)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
	}
}

// next returns the machine after another one whose instance is ready, or that machine itself.
func (world *world) next(after *machine) *machine {
	for step := 1; step <= len(world.machines); step++ {
		if machine := world.machines[(after.index+step)%len(world.machines)]; machine.runs() && world.ready(machine) {
			return machine
		}
	}
	return after
}

// submitAll submits a number of jobs to a machine at once, and returns a function that waits for their ends.
func (world *world) submitAll(count int, machine *machine, create func() *client) func() {
	var group sync.WaitGroup
	for range count {
		client := create()
		group.Go(func() { client.submit(machine) })
	}
	return group.Wait
}
