// Package packer values the free capacity of a target by what recent tasks could use of it. It performs no I/O.
package packer
