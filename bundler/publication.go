package bundler

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Publication is an attempt to replace the bundle in force.
type Publication struct {
	record Record
	data   []byte
}

// Outcome is the outcome of a publication: Published or Conflict.
type Outcome interface{ isOutcome() }

// Published means that the bundle came into force.
type Published struct{ offset int64 }

// Conflict means that another bundle replaced the one that the publication was to replace.
type Conflict struct {
	offset  int64
	version int64
	author  string
}

func (Published) isOutcome() {}
func (Conflict) isOutcome()  {}

// Offset returns the offset at which the bundle was published.
func (published Published) Offset() int64 { return published.offset }

// String describes the bundle that came into force instead, for an operator.
func (conflict Conflict) String() string {
	return fmt.Sprintf("version %d by %s at offset %d came first", conflict.version, conflict.author, conflict.offset)
}

// Publish checks a signed record against the bundle in force and returns a publication that replaces that bundle. If
// the record cannot come into force, the error lists all reasons. The bundler must have read up to the end of the log.
func (bundler *Bundler) Publish(record Record) (*Publication, error) {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if !bundler.contiguous() {
		return nil, eris.New("the log was trimmed and holds no renewal of the bundle in force yet: wait for the instances to renew it")
	}
	bundle, err := bundler.verifyAndParse(record)
	if err != nil {
		return nil, err
	}
	record.Replaces, record.Renewal = nil, nil
	publication := &Publication{}
	var inForce *Bundle
	if bundler.current != nil {
		offset := bundler.current.offset
		record.Replaces, inForce = &offset, bundler.current.bundle
	}
	if err := lintError(bundle, inForce); err != nil {
		return nil, err
	}
	publication.record = record
	publication.data, err = record.Encode()
	return publication, err
}

// Data returns the encoded record to append to the log.
func (publication *Publication) Data() []byte { return publication.data }

// Observe returns the outcome, or false if events do not show it yet. The calls together must pass all events since the
// call of Publish. The publication is recognized by its text and signers; the log's response to the append is not
// needed.
func (publication *Publication) Observe(events []Event) (Outcome, bool) {
	for _, event := range events {
		if event.Decision != DecisionInForce {
			continue
		}
		ownRecord := publication.record
		if event.Record.Text == ownRecord.Text && event.Record.Author == ownRecord.Author && event.Record.Approver == ownRecord.Approver {
			return Published{offset: event.Offset}, true
		}
		return Conflict{offset: event.Offset, version: event.Record.Version, author: event.Record.Author}, true
	}
	return nil, false
}
