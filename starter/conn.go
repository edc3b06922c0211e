package starter

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// errResponseTooLong means that a target's response exceeds maxResponseBytes.
var errResponseTooLong = eris.New("response is too long")

// conn is one connection to a target. It carries one request at a time and is used from the goroutine that starts the
// task: the transport of net/http needs two goroutines per connection, and switching between them was the largest cost
// of a start.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// remaining is the number of bytes of the current response that may still be read.
	remaining int64
	idleSince time.Time
}

func newConn(socket net.Conn) (*conn, error) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return nil, eris.Errorf("connection is a %T, expected *net.TCPConn", socket)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "accessing the socket of a connection")
	}
	conn := &conn{Conn: socket, raw: raw}
	conn.reader = bufio.NewReader(limitedReader{conn})
	return conn, nil
}

// limitedReader limits how much a target can make the starter read.
type limitedReader struct{ conn *conn }

func (reader limitedReader) Read(data []byte) (int, error) {
	if reader.conn.remaining <= 0 {
		return 0, errResponseTooLong
	}
	data = data[:min(int64(len(data)), reader.conn.remaining)]
	n, err := reader.conn.Conn.Read(data)
	reader.conn.remaining -= int64(n)
	return n, err
}

// usable reports whether an idle connection still appears to be open. A start on a connection that the target has
// closed would end with an unknown outcome.
func (conn *conn) usable(now time.Time) bool {
	if now.Sub(conn.idleSince) >= idleTimeout || conn.reader.Buffered() > 0 {
		return false
	}
	open := false
	var buffer [1]byte
	err := conn.raw.Read(func(descriptor uintptr) bool {
		// The socket is non-blocking: the read returns EAGAIN if there is no data, and none is expected on an idle
		// connection.
		_, err := syscall.Read(int(descriptor), buffer[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
