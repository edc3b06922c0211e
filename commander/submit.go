package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/submitter"
)

func newSubmit(stdin io.Reader, stdout, stderr io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("submit", flag.ContinueOnError)
	set.SetOutput(stderr)
	address := set.String("address", "127.0.0.1:8480", "balancer or instance, host:port")
	kind := set.String("kind", "", "kind of task")
	team := set.String("team", "", "team that the job belongs to")
	key := set.String("key", "", "idempotency key; resubmit under the same key")
	tasks := set.Int("tasks", 1, "number of tasks")
	payload := set.String("payload", "null", "JSON payload of each task")
	timeout := set.Duration("timeout", encoder.DefaultTimeout, "timeout of the job")
	file := set.String("file", "", "file of jobs, one JSON object a line; - means standard input")
	parallel := set.Int("parallel", 16, "jobs of the file that are submitted concurrently, 1 to 1024")
	asJSON := set.Bool("json", false, "print the answer to each job of the file as one line of JSON")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "hyssoplift submit (--kind KIND --team TEAM | --file FILE) [flags]",
		ShortHelp:  "submit jobs and print their answers",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			if *file != "" {
				return submitFile(ctx, batchOptions{address: *address, file: *file, parallel: *parallel, asJSON: *asJSON}, stdin, stdout, stderr)
			}
			if !json.Valid([]byte(*payload)) {
				return eris.New("--payload is not valid JSON")
			}
			job := newJob(*key, *kind, *team, time.Now().Add(*timeout), *tasks, json.RawMessage(*payload))
			outcome, key, err := submitter.New(*address).Submit(ctx, job)
			if err != nil {
				return err
			}
			return printOutcome(stdout, key, outcome)
		},
	}
}

// newJob returns a job of count tasks with the same payload.
func newJob(key, kind, team string, deadline time.Time, count int, payload json.RawMessage) dispatcher.Job {
	tasks := make([]dispatcher.Task, count)
	for i := range tasks {
		tasks[i] = dispatcher.NewTask(fmt.Sprintf("task-%d", i+1), payload)
	}
	return dispatcher.NewJob(key, kind, team, deadline, tasks)
}

// printOutcome prints the answer as JSON and returns an error unless the job is complete.
func printOutcome(stdout io.Writer, key string, outcome dispatcher.Outcome) error {
	response := encoder.EncodeOutcome(key, outcome, time.Now())
	if _, err := stdout.Write(response.Body()); err != nil {
		return eris.Wrap(err, "writing the answer")
	}
	if _, ok := outcome.(dispatcher.Complete); !ok {
		return eris.Errorf("job %s is not complete", key)
	}
	return nil
}
