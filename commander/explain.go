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

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// newExplain returns the subcommand that prints the log lines of one job.
func newExplain(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "hyssoplift explain JOB < LOGS",
		ShortHelp:  "print the log lines of one job, from any number of instances, in chronological order",
		FlagSet:    flag.NewFlagSet("hyssoplift explain", flag.ContinueOnError),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] == "" {
				return eris.New("expected one job ID or key")
			}
			return explain(args[0], stdin, stdout)
		},
	}
}

// logEntry is a log line about a job.
type logEntry struct {
	time   string
	source string // text before the JSON object, such as the name of the instance
	fields map[string]any
}

// explain prints the log lines whose job, task or runs field names the job or one of its tasks. Text before the JSON object
// of a line, such as the name of the instance that wrote it, is printed too.
func explain(job string, logs io.Reader, output io.Writer) error {
	var entries []logEntry
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if entry, ok := parseLogEntry(job, scanner.Bytes()); ok {
			entries = append(entries, entry)
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "reading the logs")
	}
	if len(entries) == 0 {
		return eris.Errorf("no log lines of job %q found", job)
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return strings.Compare(a.time, b.time) })
	for _, entry := range entries {
		if _, err := fmt.Fprintln(output, entry.String()); err != nil {
			return eris.Wrap(err, "writing the log lines")
		}
	}
	return nil
}

// parseLogEntry decodes a line and reports whether it is about the job.
func parseLogEntry(job string, line []byte) (logEntry, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 || !bytes.Contains(line, []byte(job)) {
		return logEntry{}, false
	}
	entry := logEntry{source: strings.TrimSpace(string(line[:start]))}
	if json.Unmarshal(line[start:], &entry.fields) != nil {
		return logEntry{}, false
	}
	task, _ := entry.fields["task"].(string)
	runs, _ := entry.fields["runs"].(string)
	if entry.fields["job"] != job && !strings.HasPrefix(task, job+".") && !listsRunOf(job, runs) {
		return logEntry{}, false
	}
	entry.time, _ = entry.fields["@timestamp"].(string)
	return entry, true
}

// listsRunOf reports whether a list of runs, separated by commas, holds a run of the job.
func listsRunOf(job, runs string) bool {
	for run := range strings.SplitSeq(runs, ", ") {
		if strings.HasPrefix(run, job+".") {
			return true
		}
	}
	return false
}

// String formats the entry as text: time, source, message, then the other fields sorted by name.
func (entry logEntry) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %v", entry.time, entry.source, entry.fields["@message"])
	for _, name := range slices.Sorted(maps.Keys(entry.fields)) {
		if !strings.HasPrefix(name, "@") {
			fmt.Fprintf(&text, " %s=%v", name, entry.fields[name])
		}
	}
	return text.String()
}
