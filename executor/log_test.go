package executor

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/isolator"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// The line about a task that is given up must name each loss with its evidence; nothing else explains the answer to the
// caller.
func TestLineOfATaskThatIsGivenUpNamesEachLoss(t *testing.T) {
	is := is.New(t)
	var output logBuffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &output, JSONFormat: true})
	executor := New(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, 0, silentClient{}, time.Now, logger)
	t.Cleanup(executor.Close)
	neighbour := isolator.Suspect{Task: "k.0.0.0", Attempt: 1, Age: time.Second, Fate: isolator.Claimed}
	crashed := isolator.Suspect{Task: "j.0.0.0", Attempt: 1, Age: 11 * time.Millisecond, Fate: isolator.Accepted}
	unanswered := isolator.Suspect{Task: "j.0.0.0", Attempt: 2, Age: 3 * time.Millisecond, Fate: isolator.Unanswered}
	executor.mu.Lock()
	executor.runAction(scheduler.TaskGivenUp{Job: "j", Task: "j.0.0.0", Targets: 48, Losses: []isolator.Incrimination{
		{
			Loss:    isolator.Loss{Target: "t1", Incarnation: 7, Evidence: isolator.Restarted, Observer: "n2", Suspects: []isolator.Suspect{neighbour, crashed}},
			Suspect: crashed, Chance: 0.00012,
		},
		{
			Loss:    isolator.Loss{Target: "t2", Incarnation: 9, Evidence: isolator.Refused, Observer: "self", Suspects: []isolator.Suspect{unanswered}},
			Suspect: unanswered, Alone: true, Chance: 1,
		},
	}})
	executor.mu.Unlock()
	line := output.String()
	is.True(strings.Contains(line, `"@message":"task given up"`))
	is.True(strings.Contains(line, `"job":"j"`))
	is.True(strings.Contains(line, `"losses":"t1 incarnation 7: attempt 1 accepted since 11 ms beside 1 others, restarted, seen by n2, by chance 1.2e-04; `+
		`t2 incarnation 9: attempt 2 unanswered since 3 ms beside 0 others, refused, seen by self, by chance 1.0e+00"`))
}

// The runs of lost instances show only in the first list of their target; later lists must not repeat the line.
func TestFirstListOfUnknownRunsIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var output logBuffer
	client := &lookRecorder{running: []scheduler.ActiveRun{{Run: scheduler.Run{Task: "j.0.0.0", Attempt: 2}}}}
	executor := New(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, 0, client, time.Now, hclog.New(&hclog.LoggerOptions{Output: &output, JSONFormat: true}))
	t.Cleanup(executor.Close)
	executor.mu.Lock()
	executor.scheduler.SetTargets(infosOf(1), time.Now())
	executor.mu.Unlock()
	poller := &poller{id: "t", withheld: make(map[int64]time.Time)}
	for range 2 {
		executor.poll(t.Context(), poller, infosOf(1)[0], PollRequest{})
	}
	is.Equal(strings.Count(output.String(), `"@message":"target listed first"`), 1)
	is.True(strings.Contains(output.String(), `"runs":"j.0.0.0/2"`))
}
