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
)

// Errors of sending.
var (
	// ErrNoLink means that no link to the instance is up.
	ErrNoLink = eris.New("no link to the instance")
	// ErrQueueFull means that the link's queue has no room; the message was not sent.
	ErrQueueFull = eris.New("queue of the link is full")
)

// link is one established connection.
type link struct {
	conn    *websocket.Conn
	remote  Hello
	limits  Limits
	traffic *Traffic
	wake    chan struct{}
	done    chan struct{}
	// received and used are times in nanoseconds since 1970 of the last frame received and of the last
	// message in either direction other than pings.
	received atomic.Int64
	used     atomic.Int64

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	closed      bool
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
	now := time.Now().UnixNano()
	link.received.Store(now)
	link.used.Store(now)
	conn.SetReadLimit(MaxFrameBytes)
	return link
}

// run reads, sends and watches the connection until it fails or ctx is done, and returns the cause.
func (link *link) run(ctx context.Context, receive func(*link, Message)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var group sync.WaitGroup
	group.Go(func() { cancel(link.send(ctx)) })
	group.Go(func() { cancel(link.watch(ctx)) })
	cancel(link.receive(ctx, receive))
	// The peer learns that the link ends; what it had queued is lost, as with any other failure.
	_ = link.conn.CloseNow()
	group.Wait()
	link.mu.Lock()
	link.closed = true
	link.queue = nil
	link.mu.Unlock()
	close(link.done)
	return context.Cause(ctx)
}

// enqueue adds the pieces of one message to the queue.
func (link *link) enqueue(pieces ...[]byte) error {
	size := 0
	for _, piece := range pieces {
		size += len(piece)
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	switch {
	case link.closed:
		return ErrNoLink
	case len(link.queue)+len(pieces) > link.limits.QueueMessages, link.queuedBytes+size > link.limits.QueueBytes:
		link.traffic.dropped.Add(1)
		return ErrQueueFull
	}
	link.queue = append(link.queue, pieces...)
	link.queuedBytes += size
	select {
	case link.wake <- struct{}{}:
	default:
	}
	return nil
}

// take returns everything queued and leaves spare as the next queue.
func (link *link) take(spare [][]byte) [][]byte {
	link.mu.Lock()
	defer link.mu.Unlock()
	batch := link.queue
	link.queue, link.queuedBytes = spare[:0], 0
	return batch
}

// send is the only writer of data frames.
func (link *link) send(ctx context.Context) error {
	var batch [][]byte
	var frame []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-link.wake:
		}
		batch = link.take(batch)
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
		link.used.Store(time.Now().UnixNano())
		if cap(frame) > keptBufferBytes {
			frame = nil
		}
	}
}

// write sends one frame; a peer that takes no bytes for the silence limit counts as gone.
func (link *link) write(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, link.limits.IOTimeout)
	defer cancel()
	link.traffic.framesSent.Add(1)
	link.traffic.bytesSent.Add(int64(len(frame)))
	return eris.Wrap(link.conn.Write(ctx, websocket.MessageBinary, frame), "sending a frame")
}

// receive decodes frames and passes each message on; a frame that breaks a bound closes the link.
func (link *link) receive(ctx context.Context, deliver func(*link, Message)) error {
	var buffer bytes.Buffer
	var assembly assembly
	for {
		buffer.Reset()
		if err := readFrame(ctx, link.conn, &buffer); err != nil {
			return err
		}
		link.received.Store(time.Now().UnixNano())
		link.traffic.bytesReceived.Add(int64(buffer.Len()))
		for rest := buffer.Bytes(); len(rest) > 0; {
			message, after, err := decode(rest)
			if err != nil {
				_ = link.conn.Close(websocket.StatusInvalidFramePayloadData, "frame cannot be decoded")
				return err
			}
			rest = after
			if piece, ok := message.(part); ok {
				if message, err = assembly.add(piece); err != nil {
					return err
				}
			}
			if message != nil {
				link.used.Store(time.Now().UnixNano())
				deliver(link, message)
			}
		}
		if buffer.Cap() > keptBufferBytes {
			buffer = bytes.Buffer{}
		}
	}
}

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

// watch pings a peer that sends nothing, closes the link if no answer comes, and closes a link that is idle.
func (link *link) watch(ctx context.Context) error {
	ticker := time.NewTicker(link.limits.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if link.limits.IdleTimeout > 0 && now.Sub(time.Unix(0, link.used.Load())) > link.limits.IdleTimeout {
				_ = link.conn.Close(websocket.StatusNormalClosure, "link is idle")
				return eris.New("link is idle")
			}
			// Frames such as heartbeats show that the peer is there, so pings go only to silent peers.
			if now.Sub(time.Unix(0, link.received.Load())) < link.limits.PingInterval {
				continue
			}
			if err := link.ping(ctx); err != nil {
				return err
			}
		}
	}
}

func (link *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, link.limits.IOTimeout)
	defer cancel()
	link.traffic.pingsSent.Add(1)
	return eris.Wrapf(link.conn.Ping(ctx), "pinging %s", link.remote.Name)
}
