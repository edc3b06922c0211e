package starter

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// errTooLong means that a target's response exceeds maxResponseBytes.
var errTooLong = eris.New("response is too long")

// conn is one connection to a target. It carries one start at a time and is driven by the goroutine of that
// start: the transport of net/http needs two goroutines for each connection, and the hand-overs between them
// were the largest cost of a start.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// budget is how many bytes of the present response may still be read.
	budget    int64
	idleSince time.Time
}

func newConn(socket net.Conn) (*conn, error) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return nil, eris.Errorf("connection is a %T, expected TCP", socket)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "looking into a connection")
	}
	conn := &conn{Conn: socket, raw: raw}
	conn.reader = bufio.NewReader(budgetReader{conn})
	return conn, nil
}

// budgetReader bounds what a target can make the starter read.
type budgetReader struct{ conn *conn }

func (reader budgetReader) Read(data []byte) (int, error) {
	if reader.conn.budget <= 0 {
		return 0, errTooLong
	}
	data = data[:min(int64(len(data)), reader.conn.budget)]
	n, err := reader.conn.Conn.Read(data)
	reader.conn.budget -= int64(n)
	return n, err
}

// usable reports whether an idle connection is still open as far as this end knows; a start on one that the
// target has closed would end with its outcome unknown.
func (conn *conn) usable(now time.Time) bool {
	if now.Sub(conn.idleSince) >= idleLimit || conn.reader.Buffered() > 0 {
		return false
	}
	open := false
	var one [1]byte
	err := conn.raw.Read(func(descriptor uintptr) bool {
		// The socket does not block: without data, which nobody may send now, the read returns EAGAIN.
		_, err := syscall.Read(int(descriptor), one[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
