// Package supervisor runs an instance on the users' platform: it reads the
// settings, starts the instance's servers and store followers, and shuts them
// down in order.
package supervisor
