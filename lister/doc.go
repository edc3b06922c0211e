// Package lister provides an HTTP client for the platform's list of instances. The list is eventually consistent.
package lister
