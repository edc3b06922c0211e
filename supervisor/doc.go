// Package supervisor runs an instance on the users' platform: it connects
// settings, store, targets, peers and callers, and stops them in order.
package supervisor
