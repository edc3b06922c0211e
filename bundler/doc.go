// Package bundler defines the configuration bundle: its INI format, its checks
// and which published bundle is in force; it performs no I/O.
package bundler
