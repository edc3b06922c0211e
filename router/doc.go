// Package router chooses the target of each task of one service. It performs
// no I/O and takes the current time and a random seed as arguments.
//
// It estimates the speed of each target from the run times in answers, keeps
// the tasks in flight within the instance's share of the slots and the slots
// that it may borrow from other instances, and ejects targets that fail, do not
// answer or are much slower than the others.
package router
