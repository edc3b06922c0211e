package bundler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/placer"
)

// Protocol is how the targets of a service are called.
type Protocol string

// Protocols of a service.
const (
	// ProtocolRunner is a task per HTTP request.
	ProtocolRunner Protocol = "runner"
	// ProtocolWorker is a task under a lease.
	ProtocolWorker Protocol = "worker"
)

// FailureDomain is a part of the platform that fails on its own.
type FailureDomain struct {
	name    string
	leaving bool
	split   bool
}

// Name returns the failure domain's name.
func (domain FailureDomain) Name() string { return domain.name }

// Leaving reports whether the next bundle may remove the failure domain; no new keys are homed there.
func (domain FailureDomain) Leaving() bool { return domain.leaving }

// Split reports whether the failure domain's targets are published as a part of their own, on PartStream.
func (domain FailureDomain) Split() bool { return domain.split }

// Service is a group of targets that run the same kinds.
type Service struct {
	name     string
	protocol Protocol
}

// Name returns the service's name.
func (service Service) Name() string { return service.name }

// Protocol returns how the service's targets are called.
func (service Service) Protocol() Protocol { return service.protocol }

// Target is a runner or worker that runs tasks of one service.
type Target struct {
	name          string
	failureDomain string
	service       string
	address       string
	slots         int
	rack          string
	resources     placer.Resources
}

// Name returns the target's name, unique in the bundle.
func (target Target) Name() string { return target.name }

// FailureDomain returns the failure domain that the target is in.
func (target Target) FailureDomain() string { return target.failureDomain }

// Service returns the service that the target belongs to.
func (target Target) Service() string { return target.service }

// Address returns the target's host and port.
func (target Target) Address() string { return target.address }

// Slots returns how many tasks the target runs at once; a worker's size is the tighter bound.
func (target Target) Slots() int { return target.slots }

// Rack returns the rack that a worker is in, or an empty string.
func (target Target) Rack() string { return target.rack }

// Resources returns a worker's size; it is zero for a runner.
func (target Target) Resources() placer.Resources { return target.resources }

// Kind is a kind of task with the limits that it runs under.
type Kind struct {
	name        string
	service     string
	repeatable  bool
	maxTasks    int
	maxInFlight int
	runTime     time.Duration
	resources   placer.Resources
}

// Name returns the kind's name.
func (kind Kind) Name() string { return kind.name }

// Service returns the service whose targets run the kind.
func (kind Kind) Service() string { return kind.service }

// Repeatable reports whether a task of this kind may run again after it provably never started.
func (kind Kind) Repeatable() bool { return kind.repeatable }

// MaxTasks returns the largest number of tasks in one job of the kind.
func (kind Kind) MaxTasks() int { return kind.maxTasks }

// MaxInFlight returns how many tasks of the kind may run at once per instance.
func (kind Kind) MaxInFlight() int { return kind.maxInFlight }

// RunTime returns the declared run time of one task, which may be far off.
func (kind Kind) RunTime() time.Duration { return kind.runTime }

// Resources returns the declared size of one task on a worker, which may be far off.
func (kind Kind) Resources() placer.Resources { return kind.resources }

// Team is a group of callers with a quota.
type Team struct {
	name        string
	maxInFlight int
}

// Name returns the team's name.
func (team Team) Name() string { return team.name }

// MaxInFlight returns how many tasks of the team may run at once per instance.
func (team Team) MaxInFlight() int { return team.maxInFlight }

// Policy weighs the two metrics against each other.
type Policy struct {
	responseTimeWeight  int
	wastedMessageWeight int
}

// ResponseTimeWeight returns the weight of response time against the ideal, 0 to 100.
func (policy Policy) ResponseTimeWeight() int { return policy.responseTimeWeight }

// WastedMessageWeight returns the weight of wasted messages, 0 to 100.
func (policy Policy) WastedMessageWeight() int { return policy.wastedMessageWeight }

// Objective is the service level that a kind is measured against.
type Objective struct {
	kind          string
	within        time.Duration
	targetPercent float64
}

// Kind returns the name of the kind.
func (objective Objective) Kind() string { return objective.kind }

// Within returns the time in which an answer counts as good.
func (objective Objective) Within() time.Duration { return objective.within }

// TargetPercent returns the share of answers that must be good, in percent.
func (objective Objective) TargetPercent() float64 { return objective.targetPercent }

// Retention holds the periods for which the platform keeps records.
type Retention struct{ log time.Duration }

// Log returns how long the platform's log retains a record; renewals are spaced by it.
func (retention Retention) Log() time.Duration { return retention.log }

// Bundle is one immutable version of the configuration.
type Bundle struct {
	version int64
	// part is the failure domain whose targets the bundle holds, or empty for the common part.
	part string
	// partVersion is set in a composed bundle, in which the targets of split failure domains are present.
	partVersion    int64
	failureDomains []string
	domains        map[string]FailureDomain
	services       map[string]Service
	targets        []Target
	kinds          map[string]Kind
	teams          map[string]Team
	objectives     map[string]Objective
	policy         Policy
	retention      Retention
}

// Version returns the bundle's version number; it rises with each accepted bundle.
func (bundle *Bundle) Version() int64 { return bundle.version }

// Part returns the failure domain whose targets the bundle holds, or an empty string for the common part.
func (bundle *Bundle) Part() string { return bundle.part }

// PartVersion returns the version of the part that Compose added last, or 0.
func (bundle *Bundle) PartVersion() int64 { return bundle.partVersion }

// FailureDomains returns the names of the failure domains, sorted; callers must not change them.
func (bundle *Bundle) FailureDomains() []string { return bundle.failureDomains }

// FailureDomain returns the failure domain named name.
func (bundle *Bundle) FailureDomain(name string) (FailureDomain, bool) {
	domain, ok := bundle.domains[name]
	return domain, ok
}

// Service returns the service named name; one without a section of its own uses ProtocolRunner.
func (bundle *Bundle) Service(name string) (Service, bool) {
	service, ok := bundle.services[name]
	return service, ok
}

// Targets returns all targets, sorted by name; callers must not change them.
func (bundle *Bundle) Targets() []Target { return bundle.targets }

// Kind returns the kind named name.
func (bundle *Bundle) Kind(name string) (Kind, bool) {
	kind, ok := bundle.kinds[name]
	return kind, ok
}

// Team returns the team named name.
func (bundle *Bundle) Team(name string) (Team, bool) {
	team, ok := bundle.teams[name]
	return team, ok
}

// Objective returns the objective of the kind named kind.
func (bundle *Bundle) Objective(kind string) (Objective, bool) {
	objective, ok := bundle.objectives[kind]
	return objective, ok
}

// Policy returns the weights of the two metrics.
func (bundle *Bundle) Policy() Policy { return bundle.policy }

// Retention returns the periods for which state is kept.
func (bundle *Bundle) Retention() Retention { return bundle.retention }
