package bundler

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Decision is what became of a record.
type Decision string

// Verdicts on a record.
const (
	// DecisionInForce means that the record replaced the bundle in force.
	DecisionInForce Decision = "in force"
	// DecisionRenewal means that the record repeats the bundle in force.
	DecisionRenewal Decision = "renewal"
	// DecisionWaiting means that trimmed records must be accounted for first.
	DecisionWaiting Decision = "waiting"
	// DecisionIgnored means that the record has no effect.
	DecisionIgnored Decision = "ignored"
)

// Event is the verdict on the record at one offset.
type Event struct {
	Offset   int64
	Decision Decision
	Record   Record
	// Reason says why a record is ignored.
	Reason string
}

// String returns the event as one line for an operator.
func (event Event) String() string {
	line := fmt.Sprintf("offset %d: version %d by %s, approved by %s: %s",
		event.Offset, event.Record.Version, signerName(event.Record.Author), signerName(event.Record.Approver), event.Decision)
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
	return Event{Offset: offset, Decision: DecisionIgnored, Record: record, Reason: eris.ToString(err, false)}
}

func describeOffset(offset int64) string {
	if offset == noOffset {
		return "no bundle"
	}
	return fmt.Sprintf("the bundle at offset %d", offset)
}
