package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/submitter"
)

const (
	// maxLineBytes is the maximum size of a line in a file of jobs, which holds one job.
	maxLineBytes = 64 << 20
	maxParallel  = 1024
	// progressInterval is the time between updates of the progress line.
	progressInterval = 200 * time.Millisecond
)

// batchOptions are the flags of a submission of all jobs in a file.
type batchOptions struct {
	address  string
	file     string
	parallel int // concurrent submissions
	asJSON   bool
}

// numberedLine is one line of the file with its line number.
type numberedLine struct {
	number int
	text   []byte
}

// lineAnswer is the answer to the job on one line of the file, as printed with --json.
type lineAnswer struct {
	Line int `json:"line"`
	encoder.Answer
}

// tally counts and prints the answers to the jobs of a file.
type tally struct {
	stdout io.Writer
	asJSON bool
	start  time.Time

	mu       sync.Mutex
	answered int
	complete int
	failed   int
	refused  int
	unknown  int
	// unanswered counts the submissions that returned an error; they are included in unknown.
	unanswered int
}

// submitFile submits every job of the file and returns an error unless all of them complete.
func submitFile(ctx context.Context, options batchOptions, stdin io.Reader, stdout, stderr io.Writer) error {
	if options.parallel < 1 || options.parallel > maxParallel {
		return eris.Errorf("--parallel: got %d, want 1 to %d", options.parallel, maxParallel)
	}
	source := stdin
	if options.file != "-" {
		file, err := os.Open(options.file)
		if err != nil {
			return eris.Wrap(err, "opening the file of jobs")
		}
		defer file.Close()
		source = file
	}
	tally := &tally{stdout: stdout, asJSON: options.asJSON, start: time.Now()}
	client := submitter.New(options.address)
	lines := make(chan numberedLine)
	var group sync.WaitGroup
	for range options.parallel {
		group.Go(func() {
			for line := range lines {
				tally.submit(ctx, client, line)
			}
		})
	}
	stopProgress := tally.showProgress(stderr)
	err := readLines(ctx, source, lines)
	close(lines)
	group.Wait()
	stopProgress()
	fmt.Fprintf(stderr, "%s, %d resubmissions\n", tally, client.Resubmissions())
	if err != nil {
		return err
	}
	if tally.complete != tally.answered {
		return eris.Errorf("%d of %d jobs are not complete", tally.answered-tally.complete, tally.answered)
	}
	return nil
}

// readLines sends the non-empty lines of source to lines until its end or until ctx is done.
func readLines(ctx context.Context, source io.Reader, lines chan<- numberedLine) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		select {
		case lines <- numberedLine{number: number, text: bytes.Clone(text)}:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "stopped before line %d", number)
		}
	}
	return eris.Wrap(scanner.Err(), "reading the file of jobs")
}

// submit submits the job on one line and records its answer; a line that cannot be decoded counts as refused.
func (tally *tally) submit(ctx context.Context, client *submitter.Submitter, line numberedLine) {
	job, fieldError := encoder.DecodeJobLine(line.text, time.Now())
	if fieldError != nil {
		refused := dispatcher.NewRefused(dispatcher.ReasonInvalid, fieldError.Error(), fieldError.Field(), time.Time{})
		tally.add(line.number, "", refused, nil)
		return
	}
	outcome, key, err := client.Submit(ctx, job)
	tally.add(line.number, key, outcome, err)
}

// add counts one answer and prints it. Without --json, complete answers are counted but not printed. A non-nil err
// means that the outcome is unknown.
func (tally *tally) add(line int, key string, outcome dispatcher.Outcome, err error) {
	if err != nil {
		outcome = dispatcher.NewUnknown(err.Error())
	}
	answer := encoder.NewAnswer(key, outcome)
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.answered++
	switch outcome.(type) {
	case dispatcher.Complete:
		tally.complete++
	case dispatcher.Failed:
		tally.failed++
	case dispatcher.Refused:
		tally.refused++
	case dispatcher.Unknown:
		tally.unknown++
	}
	if err != nil {
		tally.unanswered++
	}
	switch {
	case tally.asJSON:
		// Encoding cannot fail, because the results in the answer were decoded from JSON. A write error is ignored:
		// writing to a closed pipe on standard output ends the process.
		_ = json.NewEncoder(tally.stdout).Encode(lineAnswer{Line: line, Answer: answer})
	case answer.Outcome != "complete" && key == "":
		fmt.Fprintf(tally.stdout, "line %d: %s: %s\n", line, answer.Outcome, answer.Detail)
	case answer.Outcome != "complete":
		fmt.Fprintf(tally.stdout, "line %d: job %s: %s: %s\n", line, key, answer.Outcome, answer.Detail)
	}
}

// String formats the current counts as one line.
func (tally *tally) String() string {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	return fmt.Sprintf("%d jobs answered in %.1f s: %d complete, %d failed, %d refused, %d unknown (%d without an answer)",
		tally.answered, time.Since(tally.start).Seconds(), tally.complete, tally.failed, tally.refused, tally.unknown, tally.unanswered)
}

// showProgress keeps a progress line up to date, if stderr is a terminal, until the returned function is called. That
// function clears the line.
func (tally *tally) showProgress(stderr io.Writer) func() {
	if !isTerminal(stderr) {
		return func() {}
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				fmt.Fprint(stderr, "\r\x1b[K")
				return
			case <-ticker.C:
				fmt.Fprintf(stderr, "\r\x1b[K%s", tally)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

func isTerminal(writer io.Writer) bool {
	file, ok := writer.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && info.Mode()&os.ModeDevice != 0
}
