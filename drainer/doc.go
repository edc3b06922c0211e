// Package drainer ends the connections of an HTTP server that stops, without cutting off a request: http.Server.Shutdown closes a
// connection on which the next request is being received, if its header is not complete yet.
package drainer
