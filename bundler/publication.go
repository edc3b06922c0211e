package bundler

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Publication is one attempt to replace the bundle in force.
type Publication struct {
	record Record
	data   []byte
}

// Outcome is what became of a publication: Won or Beaten.
type Outcome interface{ isOutcome() }

// Published means that the published bundle came into force at an offset.
type Published struct{ offset int64 }

// Conflict means that another bundle replaced the one that the publication wanted to replace.
type Conflict struct {
	offset  int64
	version int64
	author  string
}

func (Published) isOutcome() {}
func (Conflict) isOutcome()  {}

// Offset returns the offset of the bundle in force.
func (published Published) Offset() int64 { return published.offset }

// String returns which version won, for an operator.
func (conflict Conflict) String() string {
	return fmt.Sprintf("version %d by %s at offset %d came first", conflict.version, conflict.author, conflict.offset)
}

// Publish checks a signed record against the bundle in force and returns the publication that replaces it; the
// error names everything that keeps it from being in force. The bundler must have read to the end of the log.
func (bundler *Bundler) Publish(record Record) (*Publication, error) {
	bundler.mu.Lock()
	defer bundler.mu.Unlock()
	if !bundler.connected() {
		return nil, eris.New("the log was trimmed and holds no renewal of the bundle in force yet: wait for the instances to renew it")
	}
	bundle, err := bundler.open(record)
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

// Data returns the record to append.
func (publication *Publication) Data() []byte { return publication.data }

// Observe returns the outcome if events, all that followed the call of Publish, decide it. It recognizes the publication by text and signers, so the answer to
// the append is not needed.
func (publication *Publication) Observe(events []Event) (Outcome, bool) {
	for _, event := range events {
		if event.Decision != DecisionInForce {
			continue
		}
		own := publication.record
		if event.Record.Text == own.Text && event.Record.Author == own.Author && event.Record.Approver == own.Approver {
			return Published{offset: event.Offset}, true
		}
		return Conflict{offset: event.Offset, version: event.Record.Version, author: event.Record.Author}, true
	}
	return nil, false
}
