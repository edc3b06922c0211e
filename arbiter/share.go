package arbiter

import (
	"crypto/sha256"
	"encoding/binary"
)

// Share identifies a pair of route and caller among which capacity is divided; 0 means that it is unknown.
type Share uint64

// ShareOf returns the share of a route and a caller, which is the same at all instances.
func ShareOf(route, caller string) Share {
	// Linear counting needs all bits of the hash to be independent; those of FNV are not for short names.
	sum := sha256.Sum256([]byte(route + "\x00" + caller))
	return Share(max(binary.BigEndian.Uint64(sum[:]), 1))
}
