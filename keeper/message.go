package keeper

import "github.com/hyssoplift/hyssoplift/dispatcher"

// Message is a message between the keepers of one failure domain.
type Message interface{ isMessage() }

// Outgoing is a message to send to one member; it may be lost, delayed or reordered.
type Outgoing struct {
	To      Member
	Message Message
}

// State is the state of a start record.
type State uint8

// States of a start record, in the order in which a record passes them.
const (
	// StatePending means that the owner has not seen an acknowledgement and has started nothing.
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
	// Sequence numbers the attempts of one owner, so that a late acknowledgement or withdrawal is told apart.
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
	// Current is the sender's view.
	Current int64 `cbor:"current"`
	// Full says that the sender's table has no room; with Current equal to View it is also a confirmation.
	Full bool `cbor:"full,omitempty"`
}

// Withdraw tells a witness that the attempt with this sequence number will not start.
type Withdraw struct {
	Key      string `cbor:"key"`
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
}

// Confirm asks a member whether it is still in the view.
type Confirm struct {
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
}

// ConfirmAck says that the sender was in the view when it received the Confirm.
type ConfirmAck struct {
	View     int64  `cbor:"view"`
	Sequence uint64 `cbor:"sequence"`
}

// ConfirmRefused says that the sender is in another view.
type ConfirmRefused struct {
	Sequence uint64 `cbor:"sequence"`
	Current  int64  `cbor:"current"`
}

// SyncRequest asks for the records and synced views of slices that the sender owns in View.
type SyncRequest struct {
	View     int64  `cbor:"view"`
	Slices   []int  `cbor:"slices"`
	Sequence uint64 `cbor:"sequence"`
}

// SyncResponse carries one part of the records of one slice; the sender has adopted View and is sealed.
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

// SyncedView is a view in which a member had synced a slice as its owner.
type SyncedView struct {
	View  int64 `cbor:"view"`
	Floor int64 `cbor:"floor"`
	// Closed says that the slice was closed to plain keys.
	Closed bool `cbor:"closed,omitempty"`
}

// SyncRecord is one start record as its sender knows it.
type SyncRecord struct {
	Key      string            `cbor:"key"`
	Digest   dispatcher.Digest `cbor:"digest"`
	View     int64             `cbor:"view"`
	Sequence uint64            `cbor:"sequence"`
	State    State             `cbor:"state"`
	// Holder is the incarnation that wrote the record and, unless it is gone, has the answer.
	Holder string `cbor:"holder"`
}

// Synced tells a departing member that the sender has synced the slices and needs it no more for them.
type Synced struct {
	View   int64 `cbor:"view"`
	Slices []int `cbor:"slices"`
}

// OutcomeBatch tells a witness or a new owner how jobs ended; it is sent again until it is acknowledged.
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
