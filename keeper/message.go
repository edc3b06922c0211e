package keeper

import "github.com/hyssoplift/hyssoplift/dispatcher"

// Message is a message between the keepers of one failure domain.
type Message interface{ isMessage() }

// Outgoing is a message to send to one member. The protocol tolerates its loss, delay and reordering.
type Outgoing struct {
	To      Member
	Message Message
}

// State is the state of a start record.
type State uint8

// States of a start record, in the order in which a record passes them; from StateStarted on, the job may have started.
const (
	// StatePending means that the owner has not received an acknowledgement and has not started the job.
	StatePending State = iota + 1
	// StateCancelled means that the job never starts.
	StateCancelled
	// StateStarted means that the job may have started.
	StateStarted
	// StateFinished means that the job ended with a complete answer.
	StateFinished
	// StateFailed means that the job ended without a complete answer.
	StateFailed
)

// Record asks a witness to store a start record, or the record of a cancellation.
type Record struct {
	Key    string            `cbor:"key"`
	Digest dispatcher.Digest `cbor:"digest"`
	View   int64             `cbor:"view"`
	State  State             `cbor:"state"`
	// Sequence numbers the records that one owner sends, so that an acknowledgement or withdrawal of an earlier one is
	// recognized.
	Sequence uint64 `cbor:"sequence"`
}

// RecordAck says that the sender has stored the record.
type RecordAck struct {
	Key      string `cbor:"key"`
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
}

// RecordRefused says that the sender has not stored the record.
type RecordRefused struct {
	Key      string `cbor:"key"`
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
	// Current is the number of the sender's view.
	Current int64 `cbor:"current"`
	// Full is set if the sender's table is full. If Current equals View as well, the refusal also confirms that the
	// sender has adopted no later view.
	Full bool `cbor:"full,omitempty"`
}

// Withdraw asks a witness to drop its copy of the start with this sequence number, which will not happen.
type Withdraw struct {
	Key      string `cbor:"key"`
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
}

// Confirm asks a member whether it has adopted no view later than View, so that a refusal decided there still holds.
type Confirm struct {
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
}

// ConfirmAck says that the sender had adopted no later view when it received the Confirm.
type ConfirmAck struct {
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
}

// ConfirmRefused says that the sender has adopted the later view Current.
type ConfirmRefused struct {
	Sequence uint64 `cbor:"sequence"`
	Current  int64  `cbor:"current"`
}

// SyncRequest asks for the records and the last synced views of slices that the sender owns in View.
type SyncRequest struct {
	View     int64  `cbor:"view"`
	Slices   []int  `cbor:"slices"`
	Sequence uint64 `cbor:"sequence"`
}

// SyncResponse carries one part of the records of one slice. The sender has adopted View and accepts no more records of
// earlier views.
type SyncResponse struct {
	View     int64  `cbor:"view"`
	Slice    int    `cbor:"slice"`
	Sequence uint64 `cbor:"sequence"`
	// Part counts from 0; Parts is the number of parts of this slice, at least 1.
	Part  int `cbor:"part"`
	Parts int `cbor:"parts"`
	// Synced is the last view in which the sender had synced the slice as its owner, nil if there is none.
	Synced  *SyncedView  `cbor:"synced,omitempty"`
	Records []SyncRecord `cbor:"records"`
}

// SyncedView is a view in which a member had synced a slice as its owner. Every start in the slice from the view Floor
// on is known to that owner.
type SyncedView struct {
	View  int64 `cbor:"view"`
	Floor int64 `cbor:"floor"`
	// Closed is set if the slice was closed to plain keys.
	Closed bool `cbor:"closed,omitempty"`
}

// SyncRecord is one start record as stored by its sender.
type SyncRecord struct {
	Key      string            `cbor:"key"`
	Digest   dispatcher.Digest `cbor:"digest"`
	View     int64             `cbor:"view"`
	Sequence uint64            `cbor:"sequence"`
	State    State             `cbor:"state"`
	// Holder is the incarnation that wrote the record and has the answer as long as it runs.
	Holder string `cbor:"holder"`
}

// Synced informs a departing member that the sender has synced the slices and no longer needs the member for them.
type Synced struct {
	View   int64 `cbor:"view"`
	Slices []int `cbor:"slices"`
}

// OutcomeBatch sends the outcomes of jobs to a witness or a new owner; it is sent again until it is acknowledged.
type OutcomeBatch struct {
	Sequence uint64          `cbor:"sequence"`
	Outcomes []RecordOutcome `cbor:"outcomes"`
}

// RecordOutcome is the end of one job, without its results.
type RecordOutcome struct {
	Key      string `cbor:"key"`
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
	State    State  `cbor:"state"`
}

// OutcomeAck acknowledges an OutcomeBatch.
type OutcomeAck struct {
	Sequence uint64 `cbor:"sequence"`
}

func (Record) isMessage()         {}
func (RecordAck) isMessage()      {}
func (RecordRefused) isMessage()  {}
func (Withdraw) isMessage()       {}
func (Confirm) isMessage()        {}
func (ConfirmAck) isMessage()     {}
func (ConfirmRefused) isMessage() {}
func (SyncRequest) isMessage()    {}
func (SyncResponse) isMessage()   {}
func (Synced) isMessage()         {}
func (OutcomeBatch) isMessage()   {}
func (OutcomeAck) isMessage()     {}
