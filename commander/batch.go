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
	// maxLineBytes bounds one job of a file.
	maxLineBytes = 64 << 20
	maxParallel  = 1024
	// progressInterval spaces the updates of the progress line.
	progressInterval = 200 * time.Millisecond
)

// batch is a file of jobs to submit.
type batch struct {
	address  string
	file     string
	parallel int
	asJSON   bool
}

// numberedLine is one line of the file.
type numberedLine struct {
	number int
	text   []byte
}

// lineAnswer is the printed answer to one line of the file.
type lineAnswer struct {
	Line int `json:"line"`
	encoder.Answer
}

// tally counts answers and prints them.
type tally struct {
	stdout io.Writer
	asJSON bool
	start  time.Time

	mu       sync.Mutex
	read     int
	complete int
	failed   int
	refused  int
	unknown  int
	lost     int
}

// submitFile submits every job of the file and returns an error unless all are complete.
func submitFile(ctx context.Context, batch batch, stdin io.Reader, stdout, stderr io.Writer) error {
	if batch.parallel < 1 || batch.parallel > maxParallel {
		return eris.Errorf("--parallel: got %d, allowed are 1 to %d", batch.parallel, maxParallel)
	}
	source := stdin
	if batch.file != "-" {
		file, err := os.Open(batch.file)
		if err != nil {
			return eris.Wrap(err, "opening the file of jobs")
		}
		defer file.Close()
		source = file
	}
	tally := &tally{stdout: stdout, asJSON: batch.asJSON, start: time.Now()}
	client := submitter.New(batch.address)
	lines := make(chan numberedLine)
	var group sync.WaitGroup
	for range batch.parallel {
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
	if tally.complete != tally.read {
		return eris.Errorf("%d of %d jobs are not complete", tally.read-tally.complete, tally.read)
	}
	return nil
}

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

func (tally *tally) submit(ctx context.Context, client *submitter.Submitter, line numberedLine) {
	job, fault := encoder.DecodeJobLine(line.text, time.Now())
	if fault != nil {
		refused := dispatcher.NewRefused(dispatcher.ReasonInvalid, fault.Error(), fault.Field(), time.Time{})
		tally.add(line.number, "", refused, nil)
		return
	}
	outcome, key, err := client.Submit(ctx, job)
	tally.add(line.number, key, outcome, err)
}

// add counts and prints one answer; in the plain form complete ones are only counted.
func (tally *tally) add(line int, key string, outcome dispatcher.Outcome, err error) {
	if err != nil {
		outcome = dispatcher.NewUnknown(err.Error())
	}
	answer := encoder.NewAnswer(key, outcome)
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.read++
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
		tally.lost++
	}
	switch {
	case tally.asJSON:
		// The answer was decoded from JSON, so encoding it cannot fail; a failed write ends with the process.
		_ = json.NewEncoder(tally.stdout).Encode(lineAnswer{Line: line, Answer: answer})
	case answer.Outcome != "complete" && key == "":
		fmt.Fprintf(tally.stdout, "line %d: %s: %s\n", line, answer.Outcome, answer.Detail)
	case answer.Outcome != "complete":
		fmt.Fprintf(tally.stdout, "line %d: job %s: %s: %s\n", line, key, answer.Outcome, answer.Detail)
	}
}

// String returns the counts so far on one line.
func (tally *tally) String() string {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	return fmt.Sprintf("%d jobs answered in %.1f s: %d complete, %d failed, %d refused, %d unknown (%d without an answer)",
		tally.read, time.Since(tally.start).Seconds(), tally.complete, tally.failed, tally.refused, tally.unknown, tally.lost)
}

// showProgress rewrites one line on a terminal until the returned function is called.
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
