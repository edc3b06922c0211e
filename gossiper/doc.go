// Package gossiper exchanges state updates about targets and runs between instances, and detects lost instances.
//
// Updates about a target go to its reader, and a run end goes to the run's owner. Only the free capacity of targets and
// the number of waiting tasks are broadcast to all instances, less often the more instances there are.
package gossiper
