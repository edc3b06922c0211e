// Package clocker provides a monotonic clock that keeps counting while the
// machine is suspended.
package clocker
