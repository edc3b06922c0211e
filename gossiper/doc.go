// Package gossiper tells the other instances what this one starts and sees on
// the targets, and notices which of them are not heard of any more.
package gossiper
