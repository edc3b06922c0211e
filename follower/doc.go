// Package follower keeps up with the newest records of a keyed topic of the
// platform's store, through outages, lost history and silent connections.
package follower
