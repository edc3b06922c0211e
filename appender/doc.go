// Package appender implements an HTTP client of the platform's append-only log.
package appender
