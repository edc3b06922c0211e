// Package bundler defines the configuration bundle: its INI format, its checks
// and which published bundle is in force; it performs no I/O.
//
// A bundle in force is known by the offset of its record and by an offset through, up to which no record replaced it.
// A reader that has every later record can go on from there; one that misses some waits for a renewal or a peer,
// which carry a later through. Without it, a reader of a trimmed log could not tell a winner from a loser that outlived
// the winner.
//
// A large bundle is split: the common part is published on one stream and the targets of each failure domain on
// another, each with its own versions, signatures and renewals. An instance reads the common part and its own.
package bundler
