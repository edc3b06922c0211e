package bundler

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Verdict is what became of a record.
type Verdict string

// Verdicts on a record.
const (
	// VerdictInForce means that the record replaced the bundle in force.
	VerdictInForce Verdict = "in force"
	// VerdictRenewal means that the record repeats the bundle in force.
	VerdictRenewal Verdict = "renewal"
	// VerdictWaiting means that trimmed records must be accounted for first.
	VerdictWaiting Verdict = "waiting"
	// VerdictIgnored means that the record has no effect.
	VerdictIgnored Verdict = "ignored"
)

// Event is the verdict on the record at one offset.
type Event struct {
	Offset  int64
	Verdict Verdict
	Record  Record
	// Reason says why a record is ignored.
	Reason string
}

// String returns the event as one line for an operator.
func (event Event) String() string {
	line := fmt.Sprintf("offset %d: version %d by %s, approved by %s: %s",
		event.Offset, event.Record.Version, signerName(event.Record.Author), signerName(event.Record.Approver), event.Verdict)
	if event.Reason != "" {
		line += ": " + event.Reason
	}
	return line
}

// signerName returns name, or a word for the missing signer of a record that could not be decoded.
func signerName(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}

func ignored(offset int64, record Record, err error) Event {
	return Event{Offset: offset, Verdict: VerdictIgnored, Record: record, Reason: eris.ToString(err, false)}
}

func describeOffset(offset int64) string {
	if offset == noOffset {
		return "no bundle"
	}
	return fmt.Sprintf("the bundle at offset %d", offset)
}
