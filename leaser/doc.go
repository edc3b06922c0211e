// Package leaser runs tasks on workers under leases. It starts a task with a lease and renews the lease until the task
// ends. While the worker cannot be reached, it makes no assumption about the state of the lease.
package leaser
