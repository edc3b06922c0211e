package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { plays["crash-label"] = playCrashLabel }

// playCrashLabel has jobs of which two tasks have just started when their runners crash. The tasks of some need runners of
// different kinds, and those of others must not share a runner.
func playCrashLabel(world *world) error {
	if err := world.start([]zone{{"ahd", 1, 8}, {"srt", 1, 8}, {"vdr", 1, 8}}, 64000); err != nil {
		return err
	}
	var mu sync.Mutex
	chosen := ""
	started := make(chan *runner, 2)
	for _, runner := range world.runners {
		runner.onStart = func(run runKey) {
			mu.Lock()
			defer mu.Unlock()
			if chosen != "" && strings.HasPrefix(run.task, chosen) && run.attempt == 1 {
				started <- runner
			}
		}
	}
	size := work{MS: 1000, CPU: 27000}
	kinds := []step{{Count: 1, CPU: size.CPU, MemMB: 64, EstRuntimeMS: size.MS, RequiredLabel: "a"}, {Count: 1, CPU: size.CPU, MemMB: 64, EstRuntimeMS: size.MS, RequiredLabel: "b"}}
	apart := []step{{Count: 2, CPU: size.CPU, MemMB: 64, EstRuntimeMS: size.MS, AntiAffinity: 1}}
	needs := make(map[string]string)
	for round := range 3 {
		steps := kinds
		if round%2 == 1 {
			steps = apart
		}
		client := world.newClientWithSteps(size, steps, 6*time.Second)
		for number := range steps {
			needs[fmt.Sprintf("%s.0.%d.", client.id, number)] = steps[number].RequiredLabel
		}
		mu.Lock()
		chosen = client.id
		mu.Unlock()
		ended := make(chan struct{})
		go func() {
			client.submit(world.machines[0])
			close(ended)
		}()
		crashed := []*runner{<-started, <-started}
		if world.trouble {
			time.Sleep(5 * time.Millisecond)
			for _, runner := range crashed {
				runner.crash()
			}
			time.Sleep(4500 * time.Millisecond)
			for _, runner := range crashed {
				if err := runner.restart(); err != nil {
					return err
				}
			}
		}
		<-ended
		mu.Lock()
		chosen = ""
		mu.Unlock()
		// Later than the period in which losses are weighed against each other.
		time.Sleep(17 * time.Second)
	}
	world.checkRoute(needs)
	return nil
}

// checkRoute records each start on a runner without the needed label, and each pair of runs of a step that must not share a
// runner; needs holds the needed label by the beginning of the names of a step's tasks, or nothing if runs must not share.
func (world *world) checkRoute(needs map[string]string) {
	all := world.intervals()
	for prefix, label := range needs {
		for i := range all {
			run := &all[i]
			if !strings.HasPrefix(run.task, prefix) {
				continue
			}
			if label != "" && !slices.Contains(world.runner(run.runner).labels, label) {
				world.record.breakRule("ROUTE", "task %s needs the label %q and was started on %s, which has %v", run.task, label, run.runner, world.runner(run.runner).labels)
			}
			for j := i + 1; label == "" && j < len(all); j++ {
				other := &all[j]
				if strings.HasPrefix(other.task, prefix) && other.runner == run.runner && run.began.Before(other.end) && other.began.Before(run.end) {
					world.record.breakRule("ROUTE", "tasks %s and %s of a step with antiAffinity 1 were at work on %s at the same time", run.task, other.task, run.runner)
				}
			}
		}
	}
}
