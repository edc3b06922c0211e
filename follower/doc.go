// Package follower follows a keyed topic of the platform's store: it loads the
// newest record of each key, polls for updates and recovers from outages, trimmed
// history and connections that stop responding.
package follower
