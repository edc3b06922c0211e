// Package router chooses the target of each task of one service; it performs
// no I/O and takes the time and a seed as arguments.
//
// It learns the speed of each target from the run times that answers show,
// keeps its own in-flight counts within the instance's share of the slots, and
// ejects targets that fail, freeze or lag.
package router
