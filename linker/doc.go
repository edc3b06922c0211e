// Package linker maintains WebSocket links between instances and sends typed CBOR messages over them. It matches
// responses to requests.
package linker
