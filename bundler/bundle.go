package bundler

import (
	"time"
)

// Target is a runner or worker that runs tasks of one service.
type Target struct {
	name          string
	failureDomain string
	service       string
	address       string
	slots         int
}

// Name returns the target's name, unique in the bundle.
func (target Target) Name() string { return target.name }

// FailureDomain returns the failure domain that the target is in.
func (target Target) FailureDomain() string { return target.failureDomain }

// Service returns the service that the target belongs to.
func (target Target) Service() string { return target.service }

// Address returns the target's host and port.
func (target Target) Address() string { return target.address }

// Slots returns how many tasks the target runs at once.
func (target Target) Slots() int { return target.slots }

// Kind is a kind of task with the limits that it runs under.
type Kind struct {
	name        string
	service     string
	repeatable  bool
	maxTasks    int
	maxInFlight int
	runTime     time.Duration
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

// Team is a group of callers with a quota.
type Team struct {
	name        string
	maxInFlight int
}

// Name returns the team's name.
func (team Team) Name() string { return team.name }

// MaxInFlight returns how many tasks of the team may run at once per instance.
func (team Team) MaxInFlight() int { return team.maxInFlight }

// Bundle is one immutable version of the configuration.
type Bundle struct {
	version        int64
	failureDomains []string
	targets        []Target
	kinds          map[string]Kind
	teams          map[string]Team
}

// Version returns the bundle's version number; it rises with each accepted bundle.
func (bundle *Bundle) Version() int64 { return bundle.version }

// FailureDomains returns the names of the failure domains, sorted; callers must not change them.
func (bundle *Bundle) FailureDomains() []string { return bundle.failureDomains }

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
