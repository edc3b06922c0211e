package bundler

import (
	"maps"
	"slices"
	"strings"
)

// Kinds returns all kinds, sorted by name.
func (bundle *Bundle) Kinds() []Kind {
	return slices.SortedFunc(maps.Values(bundle.kinds), func(a, b Kind) int { return strings.Compare(a.name, b.name) })
}

// Teams returns all teams, sorted by name.
func (bundle *Bundle) Teams() []Team {
	return slices.SortedFunc(maps.Values(bundle.teams), func(a, b Team) int { return strings.Compare(a.name, b.name) })
}
