package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// moveAfter is how long after handing in its job a client moves to another zone.
	moveAfter = 300 * time.Millisecond
	// patience is how long the clients wait, as the most patient ones of the bench do.
	patience = 6800 * time.Millisecond
	// moveRounds is how often clients move, and moveClients how many clients a zone has.
	moveRounds  = 3
	moveClients = 4
)

// askAgainElsewhere lets half of the clients of a zone move to another one while their jobs are at work, and hand them in there again.
func askAgainElsewhere(deployment *deployment, trouble bool) (result, error) {
	for i, zone := range zones {
		deployment.add("frontend-"+zone+"-1", zone, 0.4)
		for number := range 3 {
			if _, err := deployment.fleet.add(fmt.Sprintf("i-%d%d", i, number), zone, 32000, "a", "r"+zone); err != nil {
				return failed, err
			}
		}
	}
	if err := deployment.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	for round := range moveRounds {
		var clients sync.WaitGroup
		for number := range moveClients {
			clients.Go(func() {
				id := newID()
				from, to := deployment.instances[round%3], deployment.instances[(round+1)%3]
				task := phase{Count: 4, CPU: 2000, MemMB: 64}
				const work = 3 * time.Second
				if !trouble || number%2 == 1 {
					deployment.submit(from, id, work, patience, task)
					return
				}
				left := deployment.submitAndLeave(from, id, work, patience, task)
				time.Sleep(moveAfter + resendPause)
				deployment.submit(to, id, work, patience, task)
				left()
			})
		}
		clients.Wait()
		time.Sleep(time.Second)
	}
	outcome := held
	deployment.fleet.mu.Lock()
	defer deployment.fleet.mu.Unlock()
	for i, first := range deployment.fleet.starts {
		for _, second := range deployment.fleet.starts[i+1:] {
			if first.task == second.task && first.ended.After(second.began) {
				both := min(first.ended.Sub(second.began), second.ended.Sub(second.began))
				deployment.record.say("TWICE: %s at work on %s from %d ms and on %s from %d ms, for %d ms at the same time",
					first.task, first.runner, deployment.record.ms(first.began), second.runner, deployment.record.ms(second.began), both.Milliseconds())
				outcome = broken
			}
		}
	}
	return outcome, nil
}

// submitAndLeave sends a job like submit and does nothing more on its channel, which stays open until the returned function is called. That
// records what has arrived on the channel.
func (deployment *deployment) submitAndLeave(to *instance, id string, work, wait time.Duration, phases ...phase) func() {
	channel, err := net.Dial("tcp", net.JoinHostPort(to.ip, strconv.Itoa(deployment.ports.frontend)))
	if err != nil {
		deployment.record.line("client: cannot connect to %s: %v", to.name, err)
		return func() {}
	}
	deployment.record.line("client: POST /q/%s to %s", id, to.name)
	deployment.writeJob(channel, id, wait, encodeJob(work, phases))
	return func() {
		_ = channel.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if response, err := http.ReadResponse(bufio.NewReader(channel), nil); err == nil {
			deployment.record.line("client: on the first channel of %s at %s, %d has arrived", id, to.name, response.StatusCode)
			_ = response.Body.Close()
		}
		_ = channel.Close()
	}
}
