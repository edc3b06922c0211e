package keeper

import (
	"math/bits"
	"time"
)

// generation returns the number of retention periods since the start of this incarnation. Solo keys carry it, so that
// their records can be dropped, as the epoch allows for those of issued keys.
func (keeper *Keeper) generation(now time.Time) int64 {
	return int64(max(now.Sub(keeper.started), 0) / keeper.limits.Retention)
}

// generationValid reports whether a solo key of this generation may still start.
func (keeper *Keeper) generationValid(generation int64, now time.Time) bool {
	latest := keeper.generation(now)
	return generation == latest || generation == latest-1
}

// KeyPrefix returns a key prefix, ending in a dot, for the next job of a caller. It belongs to a slice that this
// instance serves, or otherwise to one whose owner is not suspected; it is a solo prefix if there is no view or no
// other member can be reached. Each call advances a counter, so that successive prefixes go round the slices.
func (keeper *Keeper) KeyPrefix(now time.Time) string {
	history := keeper.history.Load()
	if history == nil || !keeper.anyMemberReachable(history) {
		return soloPrefix(keeper.domain, keeper.self.Incarnation, keeper.generation(now))
	}
	turn := int(keeper.prefixesIssued.Add(1) % SliceCount)
	// After a rotation by turn, the lowest set bit is the next served slice.
	if served := bits.RotateLeft64(keeper.serving.Load(), -turn); served != 0 {
		return issuedPrefix(keeper.domain, history.number(), (bits.TrailingZeros64(served)+turn)%SliceCount)
	}
	for i := range SliceCount {
		slice := (turn + i) % SliceCount
		if owner := history.current.owner(slice).Incarnation; owner != keeper.self.Incarnation && !keeper.suspected(owner) {
			return issuedPrefix(keeper.domain, history.number(), slice)
		}
	}
	return soloPrefix(keeper.domain, keeper.self.Incarnation, keeper.generation(now))
}

// anyMemberReachable reports whether this instance is the only member or another member is not suspected.
func (keeper *Keeper) anyMemberReachable(history *viewHistory) bool {
	members := history.current.view.Members
	if len(members) == 1 {
		return true
	}
	for _, member := range members {
		if member.Incarnation != keeper.self.Incarnation && !keeper.suspected(member.Incarnation) {
			return true
		}
	}
	return false
}

// AnonymousKey returns a solo key for a job that came without a key; text must be unique in this incarnation.
func (keeper *Keeper) AnonymousKey(text string, now time.Time) string {
	return soloPrefix(keeper.domain, keeper.self.Incarnation, keeper.generation(now)) + text
}
