// Package sleeper provides sleeps that end early when a context is done.
package sleeper
