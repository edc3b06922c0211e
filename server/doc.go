// Package server is the entry instance: a filter chain answers requests, and
// controllers keep the state that the filters read.
package server
