// Package locator decides where a job runs that its caller may have handed in before at another instance. It performs no I/O and
// takes the current time as an argument.
//
// Nothing in a request says that it is a repetition. A caller repeats one only ResubmitInterval after it has handed it in, or later. An instance
// therefore announces its jobs to all others that start work once they are AnnounceAfter old, which few jobs become; all others
// cost nothing, and no job waits before its first start.
package locator
