// Command standin-3 plays the cases 11 to 15 of the review: it starts instances by the command of the deploy file, and stands in for
// the platform's store, the runners and the clients, by the users' pages (PROTOCOL.md and DEPLOY.md).
package main
