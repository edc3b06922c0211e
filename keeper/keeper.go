package keeper

import (
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Slices is the number of slices of a failure domain.
const Slices = 64

// Limits bounds the keeper's memory and waiting times.
type Limits struct {
	// MaxRecords is the number of records above which new jobs are refused.
	MaxRecords int
	// Retention is how long the answer to a plain key is kept, and the interval between renewals of the view.
	Retention time.Duration
	// AckTimeout is how long one witness, or one confirming member, may take to answer.
	AckTimeout time.Duration
	// SyncTimeout is how long a member may take to answer a sync request before it is sent again and the
	// member is reported by Silent.
	SyncTimeout time.Duration
	// OutcomeInterval is how long ended jobs are collected before their witnesses are told.
	OutcomeInterval time.Duration
}

// Keeper decides the starts of one instance's slices; its methods are safe for concurrent use.
type Keeper struct {
	self   Member
	domain string
	limits Limits
}

// New returns a keeper without a view; it answers unknown until it has adopted one.
func New(self Member, domain string, limits Limits, now time.Time) *Keeper {
	_ = now
	return &Keeper{self: self, domain: domain, limits: limits}
}

// OpenLog tells the keeper the earliest retained offset of the stream of views, before the first Adopt and
// again whenever the reader had to skip trimmed records.
func (keeper *Keeper) OpenLog(earliest int64) { _ = earliest }

// Adopt reads one record of the stream of views; records must come in the order of their offsets. A record
// that is not valid changes nothing.
func (keeper *Keeper) Adopt(offset int64, view View, now time.Time) ([]Event, []Outgoing) {
	_, _, _ = offset, view, now
	return nil, nil
}

// View returns the number of the current view and the view, or NoView.
func (keeper *Keeper) View() (int64, View) { return NoView, View{} }

// Submit decides whether the job may start.
func (keeper *Keeper) Submit(submission Submission, now time.Time) (Decision, []Outgoing) {
	_, _ = submission, now
	return Answer{Outcome: dispatcher.NewUnknown("no view")}, nil
}

// Refuse releases a refusal of a submission that has not been granted a start: overload, a deadline that
// passed in the queue, an unknown kind. A pending attempt for the same job ends with it.
func (keeper *Keeper) Refuse(submission Submission, refusal dispatcher.Refused, now time.Time) (Decision, []Outgoing) {
	_, _, _ = submission, refusal, now
	return Answer{Outcome: dispatcher.NewUnknown("no view")}, nil
}

// Cancel settles a job that has not started as cancelled; it stays cancelled even if no confirmation follows.
func (keeper *Keeper) Cancel(key string, forwarded bool, now time.Time) (Decision, []Outgoing) {
	_, _, _ = key, forwarded, now
	return Answer{Outcome: dispatcher.NewUnknown("no view")}, nil
}

// Finish stores the outcome of a job whose start was granted.
func (keeper *Keeper) Finish(key string, outcome dispatcher.Outcome, now time.Time) ([]Event, []Outgoing) {
	_, _, _ = key, outcome, now
	return nil, nil
}

// Receive handles a message from the member with the given incarnation.
func (keeper *Keeper) Receive(from string, message Message, now time.Time) ([]Event, []Outgoing) {
	_, _, _ = from, message, now
	return nil, nil
}

// Expire acts on every deadline up to now: it resends, changes witness, gives up, and drops expired records.
// The server calls it every few milliseconds.
func (keeper *Keeper) Expire(now time.Time) ([]Event, []Outgoing) {
	_ = now
	return nil, nil
}

// Prefix returns a key prefix for the next job of a caller, ending in a dot.
func (keeper *Keeper) Prefix(now time.Time) string {
	_ = now
	return ""
}

// AnonymousKey returns the key of a job that came without one; text must be unique in this incarnation.
func (keeper *Keeper) AnonymousKey(text string, now time.Time) string {
	_, _ = text, now
	return ""
}

// Suspect makes the keeper prefer other witnesses to the member until Restore.
func (keeper *Keeper) Suspect(incarnation string) { _ = incarnation }

// Restore revokes a suspicion.
func (keeper *Keeper) Restore(incarnation string) { _ = incarnation }

// Account says that an incarnation that is in no view any more has adopted a later view or has disappeared
// from the instance list; slices closed to plain keys open one retention period after the last such one.
func (keeper *Keeper) Account(incarnation string, now time.Time) { _, _ = incarnation, now }

// Silent returns the incarnations that have not answered a sync request in time.
func (keeper *Keeper) Silent(now time.Time) []string {
	_ = now
	return nil
}

// Synced says whether every slice that this instance owns is synced.
func (keeper *Keeper) Synced() bool { return false }

// HandedOver says, on a departing member, whether every slice has a synced owner.
func (keeper *Keeper) HandedOver() bool { return false }
