package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// newExplain returns the subcommand that gathers what the logs tell of one job.
func newExplain(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "hyssoplift explain JOB < LOGS",
		ShortHelp:  "print the log lines of one job, of any number of instances, in the order of time",
		FlagSet:    flag.NewFlagSet("hyssoplift explain", flag.ContinueOnError),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] == "" {
				return eris.New("name one job")
			}
			return explain(args[0], stdin, stdout)
		},
	}
}

// story is a line of the log about a job.
type story struct {
	time   string
	source string
	fields map[string]any
}

// explain prints the lines of a job: those that name it or one of its tasks. Lines may have a prefix, such as the
// name of the instance that wrote them.
func explain(job string, logs io.Reader, output io.Writer) error {
	var stories []story
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if told, ok := parseStory(job, scanner.Bytes()); ok {
			stories = append(stories, told)
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "reading the logs")
	}
	if len(stories) == 0 {
		return eris.Errorf("no log line names job %q", job)
	}
	slices.SortStableFunc(stories, func(a, b story) int { return strings.Compare(a.time, b.time) })
	for _, told := range stories {
		if _, err := fmt.Fprintln(output, told.String()); err != nil {
			return eris.Wrap(err, "writing")
		}
	}
	return nil
}

func parseStory(job string, line []byte) (story, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 || !bytes.Contains(line, []byte(job)) {
		return story{}, false
	}
	told := story{source: strings.TrimSpace(string(line[:start]))}
	if json.Unmarshal(line[start:], &told.fields) != nil {
		return story{}, false
	}
	task, _ := told.fields["task"].(string)
	if told.fields["job"] != job && !strings.HasPrefix(task, job+".") {
		return story{}, false
	}
	told.time, _ = told.fields["@timestamp"].(string)
	return told, true
}

// String returns the line as text: time, source, message, then the other fields by name.
func (told story) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %v", told.time, told.source, told.fields["@message"])
	for _, name := range slices.Sorted(maps.Keys(told.fields)) {
		if !strings.HasPrefix(name, "@") {
			fmt.Fprintf(&text, " %s=%v", name, told.fields[name])
		}
	}
	return text.String()
}
