package apportioner

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

// Member is a live instance.
type Member struct {
	// Name is unique, and stays the same over a restart.
	Name string
	// Domain is the failure domain.
	Domain string
	// Weight is the declared size, which is positive.
	Weight float64
}

// Limits holds what bounds the use of targets.
type Limits struct {
	// Connections is how many connections each target accepts from all instances together; 0 if unknown.
	Connections int
}

// unitsPerWeight converts weights to integers: the sum of floating-point numbers depends on their order, so that two
// instances could come to different decisions.
const unitsPerWeight = 1e6

// candidate is a member with what its place in the order depends on.
type candidate struct {
	Member
	units int64
	hash  float64
	// isHead means that no other member of the failure domain comes before this one, and turn counts those of the same
	// domain and weight that do.
	isHead bool
	turn   int
}

// candidates returns the members and their total weight in units. If several have the same name, as while the loss of a
// restarted instance has not been noticed, the largest counts.
func candidates(members []Member) (distinct []candidate, total int64) {
	distinct = make([]candidate, 0, len(members))
	positions := make(map[string]int, len(members))
	for _, member := range members {
		added := candidate{Member: member, units: int64(math.Round(member.Weight * unitsPerWeight))}
		position, known := positions[member.Name]
		switch {
		case !known:
			positions[member.Name] = len(distinct)
			distinct = append(distinct, added)
		case added.units > distinct[position].units || added.units == distinct[position].units && added.Domain < distinct[position].Domain:
			distinct[position] = added
		}
	}
	for i := range distinct {
		total += distinct[i].units
	}
	return distinct, total
}

// arrange sorts candidates into the fixed order of which the starting instances are a prefix: first the largest of each
// failure domain, so that each domain has a starting one, and then all others. Both parts are ordered by weight, the largest
// first, then round-robin over the domains, then by a hash of the name.
func arrange(candidates []candidate) {
	for i := range candidates {
		candidates[i].hash = scheduler.RendezvousHash(candidates[i].Name, "")
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.Domain != b.Domain:
			return strings.Compare(a.Domain, b.Domain)
		case a.units != b.units:
			return cmp.Compare(b.units, a.units)
		}
		return a.compareHash(&b)
	})
	for i := range candidates {
		current := &candidates[i]
		current.isHead = i == 0 || candidates[i-1].Domain != current.Domain
		if !current.isHead && candidates[i-1].units == current.units {
			current.turn = candidates[i-1].turn + 1
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.isHead && !b.isHead:
			return -1
		case b.isHead && !a.isHead:
			return 1
		case a.units != b.units:
			return cmp.Compare(b.units, a.units)
		case a.turn != b.turn:
			return cmp.Compare(a.turn, b.turn)
		}
		return a.compareHash(&b)
	})
}

// compareHash compares the hashes of two candidates' names, and the names if the hashes are equal.
func (candidate *candidate) compareHash(other *candidate) int {
	if candidate.hash != other.hash {
		return cmp.Compare(candidate.hash, other.hash)
	}
	return strings.Compare(candidate.Name, other.Name)
}
