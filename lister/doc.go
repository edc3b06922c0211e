// Package lister is the HTTP client of the platform's list of instances, which
// lags behind what happens.
package lister
