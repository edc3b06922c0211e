package starter

import (
	"net"
	"sync"
)

// guardedConn counts the writes to a connection and can refuse further ones, to tell for certain that no
// byte of a request has left or will leave.
type guardedConn struct {
	net.Conn

	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write counts the attempt before any byte can leave.
func (conn *guardedConn) Write(data []byte) (int, error) {
	conn.mu.Lock()
	if conn.sealed {
		conn.mu.Unlock()
		return 0, net.ErrClosed
	}
	conn.writes++
	conn.mu.Unlock()
	return conn.Conn.Write(data)
}

// attempt is the connection that one start got, with the number of writes before it; a connection carries
// one request at a time, so later writes on it belong to the start.
type attempt struct {
	conn   *guardedConn
	before int64
}

func (attempt *attempt) take(conn *guardedConn) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	attempt.conn, attempt.before = conn, conn.writes
}

// neverWrites seals the connection and reports whether no byte was written for the start. Without the seal
// net/http could still write after a deadline has ended the request.
func (attempt *attempt) neverWrites() bool {
	if attempt.conn == nil {
		return true
	}
	attempt.conn.mu.Lock()
	defer attempt.conn.mu.Unlock()
	attempt.conn.sealed = true
	return attempt.conn.writes == attempt.before
}
