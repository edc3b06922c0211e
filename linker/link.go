package linker

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/sleeper"
)

// Errors returned when a message cannot be queued.
var (
	// ErrNoLink means that there is no established link to the instance.
	ErrNoLink = eris.New("no link to the instance")
	// ErrQueueFull means that the send queue of the link is full. The message was not sent.
	ErrQueueFull = eris.New("send queue of the link is full")
	// ErrUnsendable means that other instances would refuse the message. The message was not sent.
	ErrUnsendable = eris.New("message exceeds the limits of the protocol")
)

// link is one established connection.
type link struct {
	conn    *websocket.Conn
	remote  Hello
	limits  Limits
	traffic *Traffic
	wake    chan struct{}
	done    chan struct{}
	// lastReceived, lastSent and lastUsed are Unix times in nanoseconds: of the last frame received, of the last data
	// frame sent, and of the last message other than a ping in either direction.
	lastReceived atomic.Int64
	lastSent     atomic.Int64
	lastUsed     atomic.Int64
	// handlingSince, pingedAt and writingSince are Unix times in nanoseconds, and zero while no frame is being handled, no
	// ping is unanswered and no frame is being sent.
	handlingSince atomic.Int64
	pingedAt      atomic.Int64
	writingSince  atomic.Int64
	openedAt      time.Time
	// undecodable means that the link ends because one side has sent a frame that the other one cannot decode.
	undecodable atomic.Bool

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	// writing means that messages taken from the queue are being sent.
	writing bool
	closed  bool
}

func newLink(conn *websocket.Conn, remote Hello, limits Limits, traffic *Traffic) *link {
	link := &link{
		conn:    conn,
		remote:  remote,
		limits:  limits,
		traffic: traffic,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	link.openedAt = time.Now()
	now := link.openedAt.UnixNano()
	link.lastReceived.Store(now)
	link.lastSent.Store(now)
	link.lastUsed.Store(now)
	conn.SetReadLimit(MaxFrameBytes)
	return link
}

// run serves the connection until it fails or ctx is done, and returns the cause.
func (link *link) run(ctx context.Context, deliver func(*link, Message)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var group sync.WaitGroup
	group.Go(func() { cancel(link.send(ctx)) })
	group.Go(func() { cancel(link.monitor(ctx)) })
	cancel(link.receive(ctx, deliver))
	// Closing the connection signals the end of the link to the peer. Messages queued by the peer are lost, as after
	// any other failure.
	_ = link.conn.CloseNow()
	group.Wait()
	link.mu.Lock()
	link.closed = true
	link.queue = nil
	link.mu.Unlock()
	return context.Cause(ctx)
}

// enqueue adds the parts of one message to the queue.
func (link *link) enqueue(parts ...[]byte) error {
	size := 0
	for _, encodedPart := range parts {
		size += len(encodedPart)
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	switch {
	case link.closed:
		return ErrNoLink
	case len(link.queue)+len(parts) > link.limits.QueueMessages, link.queuedBytes+size > link.limits.QueueBytes:
		link.traffic.dropped.Add(1)
		return ErrQueueFull
	}
	link.queue = append(link.queue, parts...)
	link.queuedBytes += size
	select {
	case link.wake <- struct{}{}:
	default:
	}
	return nil
}

// takeQueue returns all queued messages and reuses spare for the next ones.
func (link *link) takeQueue(spare [][]byte) [][]byte {
	link.mu.Lock()
	defer link.mu.Unlock()
	batch := link.queue
	link.queue, link.queuedBytes, link.writing = spare[:0], 0, true
	return batch
}

func (link *link) finishWriting() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.writing = false
}

// flush waits until the peer has received all queued messages: it answers a ping after what was sent before. Messages that have only been
// sent would be lost if the connection is closed while something from the peer is unread.
func (link *link) flush(ctx context.Context) {
	for !link.flushed() {
		if !sleeper.For(ctx, flushInterval) {
			return
		}
	}
	// A peer that does not answer cannot be waited for.
	_ = link.ping(ctx)
}

// flushed reports whether all messages have been handed to the connection, or the link has ended.
func (link *link) flushed() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.closed || len(link.queue) == 0 && !link.writing
}

// send writes queued messages, several per frame if they fit. It is the only writer of data frames.
func (link *link) send(ctx context.Context) error {
	var batch [][]byte
	var frame []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-link.wake:
		}
		batch = link.takeQueue(batch)
		for i, encoded := range batch {
			frame = append(frame, encoded...)
			batch[i] = nil
			if i+1 < len(batch) && len(frame)+len(batch[i+1]) <= MaxFrameBytes {
				continue
			}
			if err := link.write(ctx, frame); err != nil {
				return err
			}
			frame = frame[:0]
		}
		link.finishWriting()
		link.lastUsed.Store(time.Now().UnixNano())
		if cap(frame) > maxKeptBufferBytes {
			frame = nil
		}
	}
}

// write sends one frame. A peer that accepts no data within the I/O timeout is considered unresponsive.
func (link *link) write(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, link.limits.IOTimeout)
	defer cancel()
	now := time.Now().UnixNano()
	link.lastSent.Store(now)
	link.writingSince.Store(now)
	defer link.writingSince.Store(0)
	link.traffic.framesSent.Add(1)
	link.traffic.bytesSent.Add(int64(len(frame)))
	return eris.Wrap(link.conn.Write(ctx, websocket.MessageBinary, frame), "sending a frame")
}

// receive decodes frames and passes each message to deliver. An error in a frame ends the link.
func (link *link) receive(ctx context.Context, deliver func(*link, Message)) error {
	var buffer bytes.Buffer
	var reassembler reassembler
	for {
		buffer.Reset()
		if err := readFrame(ctx, link.conn, &buffer); err != nil {
			if websocket.CloseStatus(err) == websocket.StatusInvalidFramePayloadData {
				link.undecodable.Store(true)
			}
			return err
		}
		now := time.Now().UnixNano()
		link.lastReceived.Store(now)
		link.handlingSince.Store(now)
		link.traffic.bytesReceived.Add(int64(buffer.Len()))
		for rest := buffer.Bytes(); len(rest) > 0; {
			message, after, err := decode(rest)
			if next, ok := message.(part); ok && err == nil {
				message, err = reassembler.add(next)
			}
			if err != nil {
				link.undecodable.Store(true)
				_ = link.conn.Close(websocket.StatusInvalidFramePayloadData, "frame cannot be decoded")
				return err
			}
			rest = after
			if message != nil {
				link.lastUsed.Store(time.Now().UnixNano())
				deliver(link, message)
			}
		}
		link.handlingSince.Store(0)
		if buffer.Cap() > maxKeptBufferBytes {
			buffer = bytes.Buffer{}
		}
	}
}

// readFrame reads one binary frame into buffer.
func readFrame(ctx context.Context, conn *websocket.Conn, buffer *bytes.Buffer) error {
	kind, reader, err := conn.Reader(ctx)
	if err != nil {
		return eris.Wrap(err, "receiving a frame")
	}
	if kind != websocket.MessageBinary {
		return eris.New("received a text frame")
	}
	_, err = io.Copy(buffer, reader)
	return eris.Wrap(err, "receiving a frame")
}

// monitor pings the peer while nothing is received from it. It ends the link if a ping is not answered or the link is
// idle.
func (link *link) monitor(ctx context.Context) error {
	interval := link.limits.PingInterval
	for {
		// The checks of all links are due at the same moment, so that they wake the process once per interval.
		if !sleeper.For(ctx, time.Until(time.Now().Truncate(interval).Add(interval))) {
			return ctx.Err()
		}
		now := time.Now()
		if link.limits.IdleTimeout > 0 && now.Sub(time.Unix(0, link.lastUsed.Load())) > link.limits.IdleTimeout {
			_ = link.conn.Close(websocket.StatusNormalClosure, "link is idle")
			return eris.New("link is idle")
		}
		if !link.pingDue(now) {
			continue
		}
		if err := link.ping(ctx); err != nil {
			return err
		}
	}
}

// silentPingFactor is how many times less often the peer is pinged while nothing is sent to it either. Such links exist
// between most pairs of instances of a large deployment, and nothing waits for their messages.
const silentPingFactor = 30

// pingDue reports whether the peer has sent nothing for so long that it is pinged. Any frame, such as a heartbeat, proves
// that the peer is alive.
func (link *link) pingDue(now time.Time) bool {
	interval := link.limits.PingInterval
	if now.Sub(time.Unix(0, link.lastSent.Load())) >= 2*interval {
		interval *= silentPingFactor
	}
	return now.Sub(time.Unix(0, link.lastReceived.Load())) >= interval
}

func (link *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, link.limits.IOTimeout)
	defer cancel()
	link.traffic.pingsSent.Add(1)
	link.pingedAt.Store(time.Now().UnixNano())
	defer link.pingedAt.Store(0)
	return eris.Wrapf(link.conn.Ping(ctx), "pinging %s", link.remote.Name)
}
