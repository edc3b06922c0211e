// Package linker keeps WebSocket links between instances and carries typed
// CBOR messages over them, including requests that are matched to responses.
package linker
