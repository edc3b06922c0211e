// Package bundler parses, checks and signs configuration bundles, and decides which of the published bundles is in
// force. It performs no I/O.
//
// The log is trimmed, so instances repeat the bundle in force from time to time in a record called a renewal.
//
// The bundle in force is identified by the offset of the record that published it. A second offset, UnreplacedThrough,
// states that no record up to it replaced the bundle. A reader that has every record after it can continue from there.
// A reader that misses some of them waits for a later UnreplacedThrough from a renewal in the log or from a peer.
// Without it, a reader of a trimmed log could not tell whether a record that it still finds came into force or lost
// against a record that has been trimmed.
//
// A large bundle can be split: the common part is published on one stream and the targets of each split failure domain
// on a stream of their own. Each stream has its own versions, signatures and renewals. An instance reads the common
// part and the part of its own failure domain.
package bundler
