// Package server implements an entry instance. A chain of filters handles each request; background controllers maintain
// the state that the filters read.
package server
