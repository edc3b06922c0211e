package apportioner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

const (
	// readerConnections is how many more connections the reader of a target may hold: the target holds back a poll of its own nearly
	// always.
	readerConnections = 1
	// maxLimit bounds the connection limit that counts, so that no product overflows.
	maxLimit = 1 << 20
)

// limitsConnections reports whether instances get budgets.
func (plan *Plan) limitsConnections() bool {
	return plan.rule == RulePrefix && plan.limits.Connections > 0
}

// sharedConnections returns how many connections to each target are divided among the starting instances: three quarters.
// The others are reserved for instances whose views differ and for those that have just begun to delegate.
func (plan *Plan) sharedConnections() int { return plan.limits.Connections * 3 / 4 }

// divideConnections divides the shared connections by weight, with at least minConnections for each starting instance. If
// there are too few for that, it restricts the users of each target.
func (plan *Plan) divideConnections() {
	remaining := plan.sharedConnections()
	if minConnections*len(plan.starting) > remaining {
		for name := range plan.budgets {
			plan.budgets[name] = minConnections
		}
		// The reader may be a further user.
		plan.restricted = true
		plan.users = max(0, min(remaining, plan.limits.Connections-minConnections-readerConnections)/minConnections)
		return
	}
	ascending := slices.Clone(plan.starting)
	slices.SortFunc(ascending, func(a, b candidate) int { return cmp.Compare(a.units, b.units) })
	weight := int64(0)
	for i := range ascending {
		weight += ascending[i].units
	}
	for i := range ascending {
		current := &ascending[i]
		share := int(int64(remaining) * current.units / max(1, weight))
		if share < minConnections {
			// The larger ones share what the minimum leaves.
			share = minConnections
			remaining -= share
			weight -= current.units
		}
		plan.budgets[current.Name] = share
	}
}

// Connections returns how many connections an instance may hold to each target that it reads, or to each other one; 0
// means no limit. An instance that delegates its jobs needs some for its last runs and for jobs that it cannot delegate;
// they are not part of what is divided.
func (plan *Plan) Connections(name string, isReader bool) int {
	if !plan.limitsConnections() {
		return 0
	}
	budget := max(minConnections, plan.budgets[name])
	if isReader {
		budget += readerConnections
	}
	return min(budget, plan.limits.Connections)
}

// Restricted reports whether each target is used only by some of the starting instances, since it accepts too few
// connections for all of them.
func (plan *Plan) Restricted() bool { return plan.restricted }

// Users returns how many instances use each target besides its reader, if Restricted.
func (plan *Plan) Users() int { return plan.users }

// Uses reports whether an instance may start runs on a target of a failure domain. The reader of a target always may. If
// Restricted, the instances with the highest rendezvous hash for the target may, those of its own domain first. An
// instance that delegates its jobs may use any target for the few jobs that it cannot delegate.
func (plan *Plan) Uses(name, target, domain string) bool {
	if !plan.restricted || !plan.Starts(name) {
		return true
	}
	self := slices.IndexFunc(plan.starting, func(candidate candidate) bool { return candidate.Name == name })
	own := userOf(&plan.starting[self], target, domain)
	ahead := 0
	for i := range plan.starting {
		if other := userOf(&plan.starting[i], target, domain); i != self && other.precedes(&own) {
			ahead++
		}
	}
	return ahead < plan.users
}

// user is a starting instance as a possible user of a target.
type user struct {
	name    string
	isLocal bool
	hash    float64
}

func userOf(candidate *candidate, target, domain string) user {
	return user{name: candidate.Name, isLocal: candidate.Domain == domain, hash: scheduler.RendezvousHash(candidate.Name, target)}
}

// precedes reports whether the user uses the target rather than another one does.
func (user *user) precedes(other *user) bool {
	if user.isLocal != other.isLocal {
		return user.isLocal
	}
	return cmp.Or(cmp.Compare(other.hash, user.hash), strings.Compare(user.name, other.name)) < 0
}
