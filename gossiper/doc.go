// Package gossiper exchanges messages about targets and runs between instances, and detects the failure of instances.
//
// Messages about a target go to its reader, and the end of a run goes to the run's owner. Only the free capacity of
// targets and the number of waiting tasks are broadcast to all instances, less often the more instances there are.
package gossiper
