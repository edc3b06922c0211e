// Package gossiper exchanges news of the targets with the other instances, and
// notices which of them are not heard of any more.
//
// What concerns one target goes to the instance that reads it, and the end of a
// run to the owner of the run; only the room of targets and the number of
// waiting tasks go to all, less often the more instances there are.
package gossiper
