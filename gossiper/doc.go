// Package gossiper exchanges state updates about targets and runs between instances, and detects lost instances.
//
// Updates about a target go to its reader, and a run end goes to the run's owner. Only the free capacity of targets and
// the number of waiting tasks are broadcast to all instances, less often the more instances there are.
//
// A peer is unresponsive while it has sent nothing for a period that the caller of UnresponsiveDomains chooses; the
// gossiper keeps no state for this. After PeerTimeout the peer is lost: the receiver is called once, and the peer stays
// lost until it sends again or is forgotten. Time for which this process has not read what has arrived does not count,
// up to a bound.
package gossiper
