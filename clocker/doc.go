// Package clocker tells a time that neither jumps nor stands still while the
// machine is suspended.
package clocker
