// Package commander implements the subcommands of the hyssoplift command.
package commander
