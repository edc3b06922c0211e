// Package arbiter decides between callers while a service has less capacity than they request, so that one that sends far more
// than its share takes none from the others. It does no I/O and has no clock.
package arbiter
