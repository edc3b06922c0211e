package starter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// pool keeps connections to targets, at most maxConnections to each.
type pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*host
	// sweeping says that a sweep of idle connections is due.
	sweeping bool
}

// host holds the connections to one target.
type host struct {
	// idle is a stack: the connection used last is the one least likely to have gone silent.
	idle []*conn
	open int
	// waiting are starts that wait for a connection, in the order of their arrival.
	waiting []chan *conn
}

func newPool() *pool {
	return &pool{dialer: net.Dialer{Timeout: dialTimeout}, hosts: make(map[string]*host)}
}

// get returns a connection to address; after an error no byte was written.
func (pool *pool) get(ctx context.Context, address string) (*conn, error) {
	pool.mu.Lock()
	known := pool.hosts[address]
	if known == nil {
		known = &host{}
		pool.hosts[address] = known
	}
	for len(known.idle) > 0 {
		last := len(known.idle) - 1
		conn := known.idle[last]
		known.idle[last] = nil
		known.idle = known.idle[:last]
		if conn.usable(time.Now()) {
			pool.mu.Unlock()
			return conn, nil
		}
		known.open--
		_ = conn.Close()
	}
	if known.open < maxConnections {
		known.open++
		pool.mu.Unlock()
		return pool.dial(ctx, address)
	}
	turn := make(chan *conn, 1)
	known.waiting = append(known.waiting, turn)
	pool.mu.Unlock()
	return pool.await(ctx, address, turn)
}

func (pool *pool) dial(ctx context.Context, address string) (*conn, error) {
	socket, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		var made *conn
		if made, err = newConn(socket); err == nil {
			return made, nil
		}
		_ = socket.Close()
	}
	pool.drop(address, nil)
	return nil, eris.Wrap(err, "connecting to the target")
}

// await waits for a connection or, given a nil one, for the right to dial.
func (pool *pool) await(ctx context.Context, address string, turn chan *conn) (*conn, error) {
	var given *conn
	select {
	case given = <-turn:
	case <-ctx.Done():
		pool.leave(address, turn)
		return nil, eris.Wrap(ctx.Err(), "waiting for a connection to the target")
	}
	if given == nil {
		return pool.dial(ctx, address)
	}
	return given, nil
}

// leave ends a wait, and passes on what was given meanwhile.
func (pool *pool) leave(address string, turn chan *conn) {
	pool.mu.Lock()
	known := pool.hosts[address]
	for i, other := range known.waiting {
		if other == turn {
			known.waiting = append(known.waiting[:i], known.waiting[i+1:]...)
			pool.mu.Unlock()
			return
		}
	}
	pool.mu.Unlock()
	if given := <-turn; given != nil {
		pool.put(address, given)
	} else {
		pool.drop(address, nil)
	}
}

// put gives a connection back for another start.
func (pool *pool) put(address string, conn *conn) {
	conn.idleSince = time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	known := pool.hosts[address]
	if len(known.waiting) > 0 {
		next := known.waiting[0]
		known.waiting = known.waiting[1:]
		next <- conn
		return
	}
	known.idle = append(known.idle, conn)
	if !pool.sweeping {
		pool.sweeping = true
		time.AfterFunc(idleLimit, pool.sweep)
	}
}

// drop closes a connection, nil for one that was never made, and lets a waiting start dial in its place.
func (pool *pool) drop(address string, conn *conn) {
	if conn != nil {
		_ = conn.Close()
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	known := pool.hosts[address]
	if len(known.waiting) > 0 {
		next := known.waiting[0]
		known.waiting = known.waiting[1:]
		next <- nil
		return
	}
	known.open--
	if known.open == 0 && len(known.idle) == 0 {
		delete(pool.hosts, address)
	}
}

// sweep closes connections that were idle for too long, and comes back while any is left.
func (pool *pool) sweep() {
	now := time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.sweeping = false
	for address, known := range pool.hosts {
		old := 0
		for old < len(known.idle) && now.Sub(known.idle[old].idleSince) >= idleLimit {
			_ = known.idle[old].Close()
			old++
		}
		known.idle = append(known.idle[:0], known.idle[old:]...)
		known.open -= old
		pool.sweeping = pool.sweeping || len(known.idle) > 0
		if known.open == 0 {
			delete(pool.hosts, address)
		}
	}
	if pool.sweeping {
		time.AfterFunc(idleLimit, pool.sweep)
	}
}
