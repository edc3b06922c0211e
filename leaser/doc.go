// Package leaser runs tasks on workers under leases: it starts a task with a lease, renews
// the lease until the task ends, and never assumes the state of a lease it cannot ask about.
package leaser
