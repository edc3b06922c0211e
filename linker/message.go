package linker

import (
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// Version is the version of the protocol between instances. Instances with different versions do not talk to each other.
const Version = 3

// Revisions extend the messages of a version. A field of a revision is sent only to instances that have announced at least
// this revision, since the others refuse messages with unknown fields.
const (
	// RevisionOwnership adds the fields with which instances agree that a run must end.
	RevisionOwnership = 1
	// RevisionLeases adds the announced ends of leases.
	RevisionLeases = 2
	// RevisionEvacuations adds the records of evacuations, and the highest version of them in broadcasts.
	RevisionEvacuations = 3
	// RevisionReservations adds reservations of free capacity and their answers.
	RevisionReservations = 4
	// RevisionReports adds the incarnations of targets to reports of their free capacity.
	RevisionReports = 5
	// RevisionActiveJobs adds announcements of active jobs, and delegations of jobs that their receiver has announced.
	RevisionActiveJobs = 6
	// Revision is the revision of this instance.
	Revision = RevisionActiveJobs
)

// Hello identifies an instance. It is the first frame in each direction.
type Hello struct {
	Version     int    `cbor:"version"`
	Domain      string `cbor:"domain"`
	Name        string `cbor:"name"`
	Incarnation string `cbor:"incarnation"`
	// Address is the host and port on which the instance accepts links.
	Address string `cbor:"address"`
	// Weight is the instance's share of common work relative to other instances, for example its share of a CPU; 0
	// counts as 1.
	Weight float64 `cbor:"weight,omitempty"`
	// Revision is the newest revision of the messages that the instance understands.
	Revision int `cbor:"revision,omitempty"`
	// UptimeMS is how long the instance had been running when it sent the hello, in milliseconds; 0 if unknown.
	UptimeMS int64 `cbor:"uptime-ms,omitempty"`
}

// maxWeight is the largest weight that counts, so that one instance cannot attract all work.
const maxWeight = 1024

// EffectiveWeight returns the weight of the instance, or 1 if none or no valid one is set.
func (hello *Hello) EffectiveWeight() float64 {
	if hello.Weight > 0 && hello.Weight <= maxWeight {
		return hello.Weight
	}
	return 1
}

// Message is a message between instances.
type Message interface{ isMessage() }

// Request is a message that is answered by one Response.
type Request interface {
	Message
	withID(id uint64) Request
	// answeredBy reports whether response has the type and subject that match the request.
	answeredBy(response Response) bool
}

// Response is the answer to a Request.
type Response interface {
	Message
	requestID() uint64
}

// Heartbeat is sent every second to each member of the failure domain.
type Heartbeat struct {
	View          int64    `cbor:"view"`
	Suspects      []string `cbor:"suspects,omitempty"`
	BundleVersion int64    `cbor:"bundle-version"`
	BundleOffset  int64    `cbor:"bundle-offset"`
	// Load is the number of submitted and forwarded jobs that the sender has not answered yet.
	Load int64 `cbor:"load"`
	// Synced means that the sender serves every slice that it owns in View.
	Synced bool `cbor:"synced"`
	// Leaving means that the sender has begun a planned shutdown.
	Leaving bool `cbor:"leaving,omitempty"`
}

// KeeperMessage wraps a message between the keepers of one failure domain.
type KeeperMessage struct{ Message keeper.Message }

// Task is one task of a forwarded job.
type Task struct {
	Name    string `cbor:"name"`
	Payload []byte `cbor:"payload"`
}

// Forward asks the owner of the key to decide and run a job.
type Forward struct {
	ID   uint64 `cbor:"id"`
	Key  string `cbor:"key"`
	Kind string `cbor:"kind"`
	Team string `cbor:"team"`
	// RemainingMS is the time until the deadline in milliseconds. It is relative because the clocks of instances may
	// differ.
	RemainingMS int64  `cbor:"remaining-ms"`
	TraceParent string `cbor:"traceparent,omitempty"`
	// Origin is the incarnation of the instance to which the caller sent the job.
	Origin string `cbor:"origin,omitempty"`
	Tasks  []Task `cbor:"tasks"`
}

// ForwardAnswer carries the outcome of a forwarded job.
type ForwardAnswer struct {
	ID      uint64  `cbor:"id"`
	Key     string  `cbor:"key"`
	Outcome Outcome `cbor:"outcome"`
	// CountGranted permits the origin of the forward to count the request in the burn report.
	CountGranted bool `cbor:"counts,omitempty"`
}

// Outcome is the wire form of a dispatcher.Outcome.
type Outcome struct {
	Class   string                `cbor:"class"`
	Reason  string                `cbor:"reason,omitempty"`
	Detail  string                `cbor:"detail,omitempty"`
	Field   string                `cbor:"field,omitempty"`
	RetryMS int64                 `cbor:"retry-ms,omitempty"`
	Results []TaskResult          `cbor:"results,omitempty"`
	Fates   []dispatcher.TaskFate `cbor:"fates,omitempty"`
}

// TaskResult is the result of one task.
type TaskResult struct {
	Name   string `cbor:"name"`
	Result []byte `cbor:"result"`
}

// Lookup asks the owner of the key for the answer or the state of a job.
type Lookup struct {
	ID  uint64 `cbor:"id"`
	Key string `cbor:"key"`
}

// LookupAnswer carries the state of a job, and its outcome once it has one.
type LookupAnswer struct {
	ID      uint64   `cbor:"id"`
	Key     string   `cbor:"key"`
	State   string   `cbor:"state"`
	Outcome *Outcome `cbor:"outcome,omitempty"`
}

// Cancel asks the owner of the key to cancel a job that has not started.
type Cancel struct {
	ID  uint64 `cbor:"id"`
	Key string `cbor:"key"`
}

// CancelAnswer carries the result of a cancellation: cancelled, too late or unknown.
type CancelAnswer struct {
	ID     uint64 `cbor:"id"`
	Key    string `cbor:"key"`
	Result string `cbor:"result"`
}

// BundleRequest asks for the bundle in force of a stream.
type BundleRequest struct {
	ID     uint64 `cbor:"id"`
	Stream string `cbor:"stream"`
	// After is the offset of the bundle that the sender has, or -1 if it has none.
	After int64 `cbor:"after"`
}

// BundleResponse carries the signed record of a bundle and its offsets in the log. Record is empty if the responder has
// no bundle after the offset in the request.
type BundleResponse struct {
	ID                uint64 `cbor:"id"`
	Offset            int64  `cbor:"offset"`
	UnreplacedThrough int64  `cbor:"through"`
	Record            []byte `cbor:"record,omitempty"`
}

// Claim announces to the reader of a target that the sender starts a run there, with the resources that the run uses.
type Claim struct {
	_            struct{} `cbor:",toarray"`
	Target       string
	Task         string
	Attempt      int64
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
	// EstimateMS is the declared run time in milliseconds.
	EstimateMS int64
	// Incarnation is the incarnation of the target that the sender knew of, and AgeMS the time since it decided the start.
	Incarnation int64
	AgeMS       int64
}

// ReservationAnswer says whether the reader of a target has granted a reservation.
type ReservationAnswer struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Task    string
	Attempt int64
	Granted bool
}

// RunEnd reports that a run on a target has ended.
type RunEnd struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Task    string
	Attempt int64
	// Number is the sequence number of the run end at its target.
	Number int64
	// Cause is a scheduler.Cause.
	Cause int64
}

// EndOrigin says which incarnation of a target listed a run end, and how many milliseconds before it was sent.
type EndOrigin struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64
	AgeMS       int64
}

// RunID identifies a run on a target.
type RunID struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Task    string
	Attempt int64
}

// Suspension is a lease that must not be renewed, because a run of its target must end and does not answer stop requests.
type Suspension struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation int64
	Task        string
	Attempt     int64
	// RemainingMS is for how long the lease must not be renewed, in milliseconds; 0 ends the suspension.
	RemainingMS int64
}

// OwnedRun names a run on an incarnation of a target whose owner is in question.
type OwnedRun struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation int64
	Task        string
	Attempt     int64
}

// CancelledJob is a job that its caller has cancelled.
type CancelledJob struct {
	_   struct{} `cbor:",toarray"`
	Job string
	// AgeMS is the time since the job was cancelled, in milliseconds.
	AgeMS int64
}

// CancelledAnswer says whether a cancelled job was active on the sender.
type CancelledAnswer struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Active bool
}

// FreeCapacity is the free capacity of a target as determined by its reader, the instance that polls the target and
// renews its lease.
type FreeCapacity struct {
	_            struct{} `cbor:",toarray"`
	Target       string
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
	// Unreachable means that the target does not respond to its reader, which therefore no longer renews the target's
	// lease.
	Unreachable bool
}

// LeaseEnd is the end of the lease of a target that its reader cannot reach, by the requests of all instances.
type LeaseEnd struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// RemainingMS is the time until the lease has ended, in milliseconds.
	RemainingMS int64
}

// LostRun is a run that was on a target when it was lost.
type LostRun struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Attempt int64
	// Route is the route of the job, or empty if unknown.
	Route string
	// AgeMS is the time from the decision to start the run until the loss, in milliseconds.
	AgeMS int64
	// Cleared means that the run cannot have caused the loss.
	Cleared bool
	// Fate is an isolator.Fate.
	Fate int64
}

// Loss reports an incarnation of a target that stopped responding or ended.
type Loss struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation int64
	Address     string
	// Evidence is an isolator.Evidence.
	Evidence int64
	// AgeMS is the time since the loss was noticed, in milliseconds, and Observer the instance that noticed it.
	AgeMS    int64
	Observer string
	Runs     []LostRun
}

// TargetIncarnation names an incarnation of a target.
type TargetIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation int64
}

// Evacuation is the newest record of the evacuation of a failure domain that the sender knows.
type Evacuation struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	// Version is the offset of the record in its topic plus one.
	Version int64
	// Evacuated means that nothing may start in the domain; otherwise the request was withdrawn.
	Evacuated bool
}

// StateUpdate reports what an instance did and observed on the targets since its last update.
type StateUpdate struct {
	// Claims, Withdrawn and Stops are sent to the reader of their targets: runs that the sender starts, claims that it
	// withdraws because the runs do not use their targets, and runs that the reader is to stop because the sender
	// cannot.
	Claims    []Claim `cbor:"claims,omitempty"`
	Withdrawn []RunID `cbor:"withdrawn,omitempty"`
	Stops     []RunID `cbor:"stops,omitempty"`
	// Reservations lists the claims whose runs the sender starts only once the reader of the target has answered, or after a
	// short time. They are sent in place of Claims; the reader repeats each in ReservationAnswers.
	Reservations       []Claim             `cbor:"reservations,omitempty"`
	ReservationAnswers []ReservationAnswer `cbor:"reservation-answers,omitempty"`
	// Suspensions lists leases that must not be renewed.
	Suspensions []Suspension `cbor:"suspensions,omitempty"`
	// Queries lists runs on targets that the sender reads and for which it has no recent claim. An instance answers each with
	// a claim if it owns the run, and otherwise repeats it in Disowned.
	Queries  []OwnedRun `cbor:"queries,omitempty"`
	Disowned []OwnedRun `cbor:"disowned,omitempty"`
	// Abandoned lists delegated jobs that the callers of the sender no longer need. It is sent to the delegate.
	Abandoned []string `cbor:"abandoned,omitempty"`
	// Ends is sent to the owner of the runs.
	Ends []RunEnd `cbor:"ends,omitempty"`
	// EndOrigins holds the origins of Ends in the same order. Instances of earlier revisions do not send it.
	EndOrigins []EndOrigin `cbor:"end-origins,omitempty"`
	// FreeCapacity lists targets that the sender reads, with their free capacity.
	FreeCapacity []FreeCapacity `cbor:"rooms,omitempty"`
	// ReportedIncarnations holds the incarnations of the targets in FreeCapacity in the same order; 0 if a target has not
	// answered yet. Instances of earlier revisions do not send it.
	ReportedIncarnations []int64 `cbor:"room-incarnations,omitempty"`
	// LeaseEnds is sent to the owners of runs on targets that the sender reads and cannot reach.
	LeaseEnds []LeaseEnd `cbor:"lease-ends,omitempty"`
	// Losses lists targets that were lost, Responding those that turned out not to be, and Restarts those that came back
	// with another incarnation.
	Losses     []Loss              `cbor:"losses,omitempty"`
	Responding []TargetIncarnation `cbor:"responding,omitempty"`
	Restarts   []TargetIncarnation `cbor:"restarts,omitempty"`
	// Verified lists the incarnations of targets that have answered the sender, although their entries say otherwise.
	Verified []TargetIncarnation `cbor:"verified,omitempty"`
	// Cancelled lists jobs that must not run any more. The receiver answers each in CancelAnswers.
	Cancelled     []CancelledJob    `cbor:"cancelled,omitempty"`
	CancelAnswers []CancelledAnswer `cbor:"cancel-answers,omitempty"`
	// EvacuationVersion is the highest version of a record of an evacuation that the sender knows, in broadcasts; 0 if it knows
	// none. An instance that knows a higher one answers with all records that it knows in Evacuations.
	EvacuationVersion int64        `cbor:"evacuation-version,omitempty"`
	Evacuations       []Evacuation `cbor:"evacuations,omitempty"`
	// ActiveJobs holds the keys of jobs that have been active on the sender for some time; see locator.KeyOf.
	ActiveJobs []uint64 `cbor:"active-jobs,omitempty"`
	// Waiting is the number of tasks waiting at the sender, by priority. It is empty in an update for a single
	// instance.
	Waiting []int64 `cbor:"waiting,omitempty"`
	// Leaving means that the sender has begun a planned shutdown.
	Leaving bool `cbor:"leaving,omitempty"`
	// Busy means that the sender has jobs of its own, so that it needs reports of free capacity and of renewed leases.
	Busy bool `cbor:"busy,omitempty"`
	// SentUS is when the update was sent, in microseconds on the sender's clock; 0 if unknown.
	SentUS int64 `cbor:"sent-us,omitempty"`
}

// JobStep is one step of a delegated job.
type JobStep struct {
	_            struct{} `cbor:",toarray"`
	Tasks        []string
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
	// EstimateUS is the declared run time of a task in microseconds.
	EstimateUS int64
	// DependsOn lists the indexes of the earlier steps on which this one depends.
	DependsOn    []int
	Label        string
	MaxPerTarget int
}

// Delegation asks the receiver, the delegate, to run a job for a caller of the sender, its origin.
type Delegation struct {
	ID          uint64    `cbor:"id"`
	Job         string    `cbor:"job"`
	Route       string    `cbor:"route"`
	Service     string    `cbor:"service"`
	Body        string    `cbor:"body"`
	Steps       []JobStep `cbor:"steps"`
	Priority    int       `cbor:"priority"`
	MaxFailures int       `cbor:"max-failures"`
	// AgeUS is the time since the job arrived, RemainingUS the time until its caller stops waiting, and ObjectiveUS the
	// time until its answer is late. All are in microseconds and relative, because the clocks of instances differ.
	AgeUS       int64 `cbor:"age-us"`
	RemainingUS int64 `cbor:"remaining-us"`
	ObjectiveUS int64 `cbor:"objective-us"`
	// SentUS is when the message was sent, in microseconds on the sender's clock; 0 if unknown.
	SentUS int64 `cbor:"sent-us,omitempty"`
	// Joined means that the receiver has announced the job as active. It declines the job if it knows nothing of it.
	Joined bool `cbor:"joined,omitempty"`
}

// DelegationAnswer carries the outcome of a delegated job.
type DelegationAnswer struct {
	ID      uint64  `cbor:"id"`
	Job     string  `cbor:"job"`
	Outcome Outcome `cbor:"outcome"`
}

// LinkEnded reports that a link to the instance has ended, and why. It is passed to the receiver and never sent.
type LinkEnded struct{ Cause string }

// part is one part of a message that is too large for one frame.
type part struct {
	Last bool   `cbor:"last"`
	Data []byte `cbor:"data"`
}

func (Hello) isMessage()            {}
func (Heartbeat) isMessage()        {}
func (KeeperMessage) isMessage()    {}
func (Forward) isMessage()          {}
func (ForwardAnswer) isMessage()    {}
func (Lookup) isMessage()           {}
func (LookupAnswer) isMessage()     {}
func (Cancel) isMessage()           {}
func (CancelAnswer) isMessage()     {}
func (BundleRequest) isMessage()    {}
func (BundleResponse) isMessage()   {}
func (StateUpdate) isMessage()      {}
func (Delegation) isMessage()       {}
func (DelegationAnswer) isMessage() {}
func (LinkEnded) isMessage()        {}
func (part) isMessage()             {}

func (answer ForwardAnswer) requestID() uint64    { return answer.ID }
func (answer LookupAnswer) requestID() uint64     { return answer.ID }
func (answer CancelAnswer) requestID() uint64     { return answer.ID }
func (answer DelegationAnswer) requestID() uint64 { return answer.ID }
func (response BundleResponse) requestID() uint64 { return response.ID }

func (delegation Delegation) withID(id uint64) Request {
	delegation.ID = id
	return delegation
}

func (delegation Delegation) answeredBy(response Response) bool {
	answer, ok := response.(DelegationAnswer)
	return ok && answer.Job == delegation.Job
}

func (forward Forward) withID(id uint64) Request {
	forward.ID = id
	return forward
}

func (forward Forward) answeredBy(response Response) bool {
	answer, ok := response.(ForwardAnswer)
	return ok && answer.Key == forward.Key
}

func (lookup Lookup) withID(id uint64) Request {
	lookup.ID = id
	return lookup
}

func (lookup Lookup) answeredBy(response Response) bool {
	answer, ok := response.(LookupAnswer)
	return ok && answer.Key == lookup.Key
}

func (cancel Cancel) withID(id uint64) Request {
	cancel.ID = id
	return cancel
}

func (cancel Cancel) answeredBy(response Response) bool {
	answer, ok := response.(CancelAnswer)
	return ok && answer.Key == cancel.Key
}

func (request BundleRequest) withID(id uint64) Request {
	request.ID = id
	return request
}

func (request BundleRequest) answeredBy(response Response) bool {
	_, ok := response.(BundleResponse)
	return ok
}
