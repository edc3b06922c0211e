package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// lastCall is how long after the beginning of a drain a connection may still begin to send a request. What was sent before the
	// caller could learn of the end arrives within this time.
	lastCall = 250 * time.Millisecond
	// checkInterval is how often the deadlines of idle connections are set again, since the server resets that of a connection which
	// becomes idle.
	checkInterval = 50 * time.Millisecond
)

// Drainer ends the connections of one server. The server must respond with "Connection: close" while it is drained.
type Drainer struct {
	net.Listener
	mu   sync.Mutex
	open map[*connection]bool
	// lastCallAt is when connections without a request are closed; zero before the drain.
	lastCallAt time.Time
	changed    chan struct{}
}

// New returns a drainer for a server, which must serve the drainer in place of the TCP listener.
func New(listener net.Listener, server *http.Server) *Drainer {
	drainer := &Drainer{Listener: listener, open: make(map[*connection]bool), changed: make(chan struct{}, 1)}
	server.ConnState = drainer.recordState
	return drainer
}

// Accept returns the next connection.
func (drainer *Drainer) Accept() (net.Conn, error) {
	accepted, err := drainer.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	connection := &connection{TCPConn: tcp}
	drainer.mu.Lock()
	defer drainer.mu.Unlock()
	drainer.open[connection] = true
	return connection, nil
}

// recordState follows a connection through its states.
func (drainer *Drainer) recordState(conn net.Conn, state http.ConnState) {
	connection, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		connection.setReceiving(false)
	case http.StateClosed, http.StateHijacked:
		drainer.mu.Lock()
		delete(drainer.open, connection)
		drainer.mu.Unlock()
		select {
		case drainer.changed <- struct{}{}:
		default:
		}
	case http.StateNew, http.StateActive:
	}
}

// Drain accepts no further connections and waits until all open ones have ended: those with a request after its response, the others
// after a last call. It returns an error that states how many are left if ctx is done first.
func (drainer *Drainer) Drain(ctx context.Context) error {
	// The listener may have been closed because of an error, which the server has reported.
	_ = drainer.Close()
	drainer.mu.Lock()
	drainer.lastCallAt = time.Now().Add(lastCall)
	drainer.mu.Unlock()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		left := drainer.callLast()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%d connections are open", left)
		case <-ticker.C:
		case <-drainer.changed:
		}
	}
}

// callLast ends the connections that send no request in time, and returns the number of open ones.
func (drainer *Drainer) callLast() int {
	drainer.mu.Lock()
	defer drainer.mu.Unlock()
	for connection := range drainer.open {
		connection.endUnlessReceiving(drainer.lastCallAt)
	}
	return len(drainer.open)
}

// connection is a connection that knows whether it has received anything since it was accepted or became idle.
type connection struct {
	*net.TCPConn
	mu        sync.Mutex
	receiving bool
}

// Read reads from the connection.
func (connection *connection) Read(buffer []byte) (int, error) {
	n, err := connection.TCPConn.Read(buffer)
	if n > 0 {
		connection.setReceiving(true)
	}
	return n, err
}

func (connection *connection) setReceiving(receiving bool) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.receiving = receiving
}

// endUnlessReceiving makes the connection end at the given time if it has received nothing by then.
func (connection *connection) endUnlessReceiving(at time.Time) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	if !connection.receiving {
		// An error means that the connection has ended.
		_ = connection.SetReadDeadline(at)
	}
}
