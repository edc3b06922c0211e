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
	hosts map[string]*hostConns
	// closeIdleScheduled is true while a timer for closeIdle is running.
	closeIdleScheduled bool
}

// hostConns holds the connections to one target.
type hostConns struct {
	// idle is a stack: the most recently used connection is the least likely to have been dropped by a firewall.
	idle []*conn
	open int
	// waiting holds the callers that wait for a connection, in order of arrival.
	waiting []chan *conn
}

func newPool() *pool {
	return &pool{dialer: net.Dialer{Timeout: dialTimeout}, hosts: make(map[string]*hostConns)}
}

// get returns a connection to address. After an error no byte has been written.
func (pool *pool) get(ctx context.Context, address string) (*conn, error) {
	pool.mu.Lock()
	host := pool.hosts[address]
	if host == nil {
		host = &hostConns{}
		pool.hosts[address] = host
	}
	for len(host.idle) > 0 {
		last := len(host.idle) - 1
		conn := host.idle[last]
		host.idle[last] = nil
		host.idle = host.idle[:last]
		if conn.usable(time.Now()) {
			pool.mu.Unlock()
			return conn, nil
		}
		host.open--
		_ = conn.Close()
	}
	if host.open < maxConnections {
		host.open++
		pool.mu.Unlock()
		return pool.dial(ctx, address)
	}
	waiter := make(chan *conn, 1)
	host.waiting = append(host.waiting, waiter)
	pool.mu.Unlock()
	return pool.awaitConn(ctx, address, waiter)
}

// dial opens a connection. The caller has already counted it in hostConns.open.
func (pool *pool) dial(ctx context.Context, address string) (*conn, error) {
	socket, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		var opened *conn
		if opened, err = newConn(socket); err == nil {
			return opened, nil
		}
		_ = socket.Close()
	}
	pool.drop(address, nil)
	return nil, eris.Wrap(err, "connecting to the target")
}

// awaitConn waits for a connection. If it receives nil instead, the caller may dial a new one.
func (pool *pool) awaitConn(ctx context.Context, address string, waiter chan *conn) (*conn, error) {
	var received *conn
	select {
	case received = <-waiter:
	case <-ctx.Done():
		pool.cancelWait(address, waiter)
		return nil, eris.Wrap(ctx.Err(), "waiting for a connection to the target")
	}
	if received == nil {
		return pool.dial(ctx, address)
	}
	return received, nil
}

// cancelWait removes the waiter, and passes on a connection that it received in the meantime.
func (pool *pool) cancelWait(address string, waiter chan *conn) {
	pool.mu.Lock()
	host := pool.hosts[address]
	for i, other := range host.waiting {
		if other == waiter {
			host.waiting = append(host.waiting[:i], host.waiting[i+1:]...)
			pool.mu.Unlock()
			return
		}
	}
	pool.mu.Unlock()
	if received := <-waiter; received != nil {
		pool.put(address, received)
	} else {
		pool.drop(address, nil)
	}
}

// put returns a connection to the pool for another start.
func (pool *pool) put(address string, conn *conn) {
	conn.idleSince = time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	host := pool.hosts[address]
	if len(host.waiting) > 0 {
		next := host.waiting[0]
		host.waiting = host.waiting[1:]
		next <- conn
		return
	}
	host.idle = append(host.idle, conn)
	if !pool.closeIdleScheduled {
		pool.closeIdleScheduled = true
		time.AfterFunc(idleTimeout, pool.closeIdle)
	}
}

// drop closes a connection, or accounts for a failed dial if conn is nil, and lets a waiting start dial in its place.
func (pool *pool) drop(address string, conn *conn) {
	if conn != nil {
		_ = conn.Close()
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	host := pool.hosts[address]
	if len(host.waiting) > 0 {
		next := host.waiting[0]
		host.waiting = host.waiting[1:]
		next <- nil
		return
	}
	host.open--
	if host.open == 0 && len(host.idle) == 0 {
		delete(pool.hosts, address)
	}
}

// closeIdle closes connections that have been idle for too long, and schedules itself again while any idle connection
// is left.
func (pool *pool) closeIdle() {
	now := time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closeIdleScheduled = false
	for address, host := range pool.hosts {
		expired := 0
		for expired < len(host.idle) && now.Sub(host.idle[expired].idleSince) >= idleTimeout {
			_ = host.idle[expired].Close()
			expired++
		}
		host.idle = append(host.idle[:0], host.idle[expired:]...)
		host.open -= expired
		pool.closeIdleScheduled = pool.closeIdleScheduled || len(host.idle) > 0
		if host.open == 0 {
			delete(pool.hosts, address)
		}
	}
	if pool.closeIdleScheduled {
		time.AfterFunc(idleTimeout, pool.closeIdle)
	}
}
