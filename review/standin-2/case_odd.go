package main

import (
	"encoding/json"
	"strings"
	"time"
)

// oddAddress: another writer leaves one entry among those of the runners, of a service that isn't named in the
// configuration and with a long address. In calm, a client cancels a job at one machine that runs at another one.
func oddAddress(world *world, trouble bool) error {
	world.configure(1, "desk")
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		if _, err := world.addRunner(id, "desk", id[:1], 8000, "kind-a", "r-"+id[:1]); err != nil {
			return err
		}
	}
	var nodes []*node
	for number, name := range []string{"frontend-a-1", "frontend-b-1", "frontend-c-1"} {
		added, err := world.addNode(name, name[9:10], []string{"127.0.0.37", "127.0.0.38", "127.0.0.39"}[number], 0.4)
		if err != nil {
			return err
		}
		nodes = append(nodes, added)
	}
	if err := world.awaitReady(nodes...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		entry, _ := json.Marshal(map[string]any{
			"service": "elsewhere", "addr": "127.0.0." + strings.Repeat("0", 243) + "1:65535", "zone": "a", "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "seq": 1, "capacity": map[string]any{"cpu": 8000, "memMb": 1024, "gpu": 0}, "labels": []string{}, "born": time.Now().UnixMilli(),
		})
		world.store.put("keyed.servers", "odd-1", entry)
		world.record.line("another writer: entry odd-1, %s", entry)
	}
	time.Sleep(6 * time.Second)
	var jobs []*job
	for range 6 {
		made := world.newJob("ms=12000 cpu=500", phase{Count: 2, CPU: 500, EstRuntimeMS: 12000})
		jobs = append(jobs, made)
		go world.submit(made, 0, nodes[1], 30*time.Second)
	}
	time.Sleep(2 * time.Second)
	for _, job := range jobs {
		world.cancel(job, 0, nodes[0])
	}
	time.Sleep(cancelTime + 50*time.Millisecond + 500*time.Millisecond)
	for _, job := range jobs {
		if runs := world.runningOf(job.id); len(runs) > 0 && !job.cancelled.IsZero() {
			world.broken("UNASKED", "%.1f s after the cancelling of job %s was acknowledged, it runs on: %v", time.Since(job.cancelled).Seconds(), job.id, runs)
		}
	}
	return nil
}
