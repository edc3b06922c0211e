package keeper

import (
	"math/bits"
	"time"
)

// generation counts retention periods since the start of this incarnation; solo keys carry it, so that
// their records can be dropped as those of issued keys are.
func (keeper *Keeper) generation(now time.Time) int64 {
	return int64(max(now.Sub(keeper.started), 0) / keeper.limits.Retention)
}

// current says whether a solo key of this generation may still start.
func (keeper *Keeper) current(generation int64, now time.Time) bool {
	latest := keeper.generation(now)
	return generation == latest || generation == latest-1
}

// KeyPrefix returns a key prefix for the next job of a caller, ending in a dot: of a slice that this instance
// decides, otherwise of one whose owner is not suspected; a solo prefix if no other member can be reached.
func (keeper *Keeper) KeyPrefix(now time.Time) string {
	place := keeper.place.Load()
	if place == nil || !keeper.reachable(place) {
		return soloPrefix(keeper.domain, keeper.self.Incarnation, keeper.generation(now))
	}
	turn := int(keeper.issued.Add(1) % SliceCount)
	// Rotating by the turn makes the next served slice the lowest set bit.
	if served := bits.RotateLeft64(keeper.serving.Load(), -turn); served != 0 {
		return issuedPrefix(keeper.domain, place.number(), (bits.TrailingZeros64(served)+turn)%SliceCount)
	}
	for i := range SliceCount {
		slice := (turn + i) % SliceCount
		if owner := place.current.owner(slice).Incarnation; owner != keeper.self.Incarnation && !keeper.suspected(owner) {
			return issuedPrefix(keeper.domain, place.number(), slice)
		}
	}
	return soloPrefix(keeper.domain, keeper.self.Incarnation, keeper.generation(now))
}

// reachable says whether a witness or another owner can be expected to answer.
func (keeper *Keeper) reachable(place *position) bool {
	members := place.current.view.Members
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

// AnonymousKey returns the key of a job that came without one; text must be unique in this incarnation.
func (keeper *Keeper) AnonymousKey(text string, now time.Time) string {
	return soloPrefix(keeper.domain, keeper.self.Incarnation, keeper.generation(now)) + text
}
