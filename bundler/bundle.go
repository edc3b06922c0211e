package bundler

import (
	"time"

	"github.com/hyssoplift/hyssoplift/placer"
)

// Protocol is the way in which the targets of a service run tasks.
type Protocol string

// The protocols of a service.
const (
	// ProtocolRunner runs each task as one HTTP request.
	ProtocolRunner Protocol = "runner"
	// ProtocolWorker runs each task under a lease that an instance renews.
	ProtocolWorker Protocol = "worker"
)

// FailureDomain is a part of the platform that fails independently of the others.
type FailureDomain struct {
	name    string
	leaving bool
	split   bool
}

// Name returns the failure domain's name.
func (domain FailureDomain) Name() string { return domain.name }

// Leaving reports whether the next bundle may remove the failure domain. It must not become the home of new keys.
func (domain FailureDomain) Leaving() bool { return domain.leaving }

// Split reports whether the failure domain's targets are published as a part of their own, on the stream that
// PartStream returns.
func (domain FailureDomain) Split() bool { return domain.split }

// Service is a group of targets that run the same kinds of tasks.
type Service struct {
	name     string
	protocol Protocol
}

// Name returns the service's name.
func (service Service) Name() string { return service.name }

// Protocol returns the protocol of the service's targets.
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

// Slots returns how many tasks the target runs at once. For a worker, its resources are the tighter limit.
func (target Target) Slots() int { return target.slots }

// Rack returns the rack of a worker, or an empty string.
func (target Target) Rack() string { return target.rack }

// Resources returns the resources of a worker; they are zero for a runner.
func (target Target) Resources() placer.Resources { return target.resources }

// Kind describes a kind of task and its limits.
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

// Repeatable reports whether tasks of the kind may run again if their job is resubmitted after its key has expired.
// Tasks of other kinds run at most once.
func (kind Kind) Repeatable() bool { return kind.repeatable }

// MaxTasks returns the largest number of tasks in one job of the kind.
func (kind Kind) MaxTasks() int { return kind.maxTasks }

// MaxInFlight returns how many tasks of the kind may run at once per instance.
func (kind Kind) MaxInFlight() int { return kind.maxInFlight }

// RunTime returns the declared run time of one task. The actual run time may differ widely.
func (kind Kind) RunTime() time.Duration { return kind.runTime }

// Resources returns the declared resources of one task on a worker. The actual usage may differ widely.
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

// Policy holds the weights of response time and wasted messages, which routing trades off against each other.
type Policy struct {
	responseTimeWeight  int
	wastedMessageWeight int
}

// ResponseTimeWeight returns the weight of the response time relative to the ideal one, 0 to 100.
func (policy Policy) ResponseTimeWeight() int { return policy.responseTimeWeight }

// WastedMessageWeight returns the weight of wasted messages, 0 to 100.
func (policy Policy) WastedMessageWeight() int { return policy.wastedMessageWeight }

// Objective is the service level objective of a kind.
type Objective struct {
	kind          string
	within        time.Duration
	targetPercent float64
}

// Kind returns the name of the kind that the objective applies to.
func (objective Objective) Kind() string { return objective.kind }

// Within returns the response time up to which an answer counts as good.
func (objective Objective) Within() time.Duration { return objective.within }

// TargetPercent returns the share of answers that must be good, in percent.
func (objective Objective) TargetPercent() float64 { return objective.targetPercent }

// Retention holds the periods for which the platform keeps records.
type Retention struct{ log time.Duration }

// Log returns how long the platform's log retains a record. The interval between renewals is derived from it.
func (retention Retention) Log() time.Duration { return retention.log }

// Bundle is one version of the configuration. It is immutable.
type Bundle struct {
	version int64
	// part is the failure domain whose targets the bundle holds, or empty for the common part.
	part string
	// partVersion is the version of the part that Compose added last, or 0 in a bundle that was not composed.
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

// Version returns the bundle's version number, which increases with each bundle that comes into force.
func (bundle *Bundle) Version() int64 { return bundle.version }

// Part returns the failure domain whose targets the bundle holds, or an empty string for the common part.
func (bundle *Bundle) Part() string { return bundle.part }

// PartVersion returns the version of the part that Compose added last, or 0.
func (bundle *Bundle) PartVersion() int64 { return bundle.partVersion }

// FailureDomains returns the names of the failure domains, sorted; callers must not modify the slice.
func (bundle *Bundle) FailureDomains() []string { return bundle.failureDomains }

// FailureDomain returns the failure domain named name.
func (bundle *Bundle) FailureDomain(name string) (FailureDomain, bool) {
	domain, ok := bundle.domains[name]
	return domain, ok
}

// Service returns the service named name. A service without a section of its own uses ProtocolRunner.
func (bundle *Bundle) Service(name string) (Service, bool) {
	service, ok := bundle.services[name]
	return service, ok
}

// Targets returns all targets, sorted by name; callers must not modify the slice.
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

// Objective returns the objective of the given kind.
func (bundle *Bundle) Objective(kind string) (Objective, bool) {
	objective, ok := bundle.objectives[kind]
	return objective, ok
}

// Policy returns the weights of response time and wasted messages.
func (bundle *Bundle) Policy() Policy { return bundle.policy }

// Retention returns the periods for which the platform keeps records.
func (bundle *Bundle) Retention() Retention { return bundle.retention }
