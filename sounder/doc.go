// Package sounder measures up to which time a process has read what had arrived for it.
//
// A process with too little processor time runs its timers and still does not read its connections: timers that are due
// come first, and the network is polled when nothing else can run. What it has not read then looks like the silence of
// those who sent it. A sounder writes to a pipe of its own, which is polled together with all connections, and reads from
// it again.
package sounder
