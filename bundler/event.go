package bundler

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Decision is the effect of a record on the bundle in force.
type Decision string

// The decisions on a record.
const (
	// DecisionInForce means that the record's bundle came into force.
	DecisionInForce Decision = "in force"
	// DecisionRenewal means that the record renewed the bundle in force.
	DecisionRenewal Decision = "renewal"
	// DecisionWaiting means that the record is pending: records before it have been trimmed, and a renewal or a peer
	// must first show whether one of them came into force.
	DecisionWaiting Decision = "waiting"
	// DecisionIgnored means that the record has no effect.
	DecisionIgnored Decision = "ignored"
)

// Event is the decision on the record at an offset.
type Event struct {
	Offset   int64
	Decision Decision
	Record   Record
	// Reason says why the record is ignored; otherwise it is empty.
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

// signerName returns name, or a placeholder if the record could not be decoded and has no signer.
func signerName(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}

func ignoredEvent(offset int64, record Record, err error) Event {
	return Event{Offset: offset, Decision: DecisionIgnored, Record: record, Reason: eris.ToString(err, false)}
}

func describeOffset(offset int64) string {
	if offset == noOffset {
		return "no bundle"
	}
	return fmt.Sprintf("the bundle at offset %d", offset)
}
