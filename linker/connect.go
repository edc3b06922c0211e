package linker

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

const (
	// Path is the HTTP path on which an instance accepts links.
	Path = "/v1/peer"
	// Subprotocol identifies the message format in the WebSocket handshake.
	Subprotocol = "hyssoplift.v1.cbor"

	// maxHelloBytes bounds the first frame, which is read before the peer is known to implement the protocol.
	maxHelloBytes = 4096

	// Close codes from the range that RFC 6455 reserves for private use.
	statusVersionMismatch     websocket.StatusCode = 4001
	statusIncarnationMismatch websocket.StatusCode = 4002
	statusTooManyLinks        websocket.StatusCode = 4003
)

// errOtherIncarnation means that another incarnation than the expected one accepts links at an address.
var errOtherIncarnation = eris.New("another incarnation was expected")

// dial connects to address and returns the link once both sides have sent their hello. A non-empty incarnation must
// match that of the peer.
func (linker *Linker) dial(ctx context.Context, address, incarnation string, limits Limits) (*link, error) {
	handshake, cancel := context.WithTimeout(ctx, linker.limits.IOTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(handshake, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient:   &http.Client{Transport: newTransport(), CheckRedirect: refuseRedirect},
		Subprotocols: []string{Subprotocol},
	})
	if err != nil {
		return nil, eris.Wrapf(err, "connecting to %s", address)
	}
	remote, err := linker.exchangeHellos(handshake, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	if incarnation != "" && remote.Incarnation != incarnation {
		_ = conn.Close(statusIncarnationMismatch, "another incarnation was expected at this address")
		return nil, eris.Wrapf(errOtherIncarnation, "%s is incarnation %s of %s, expected %s", address, remote.Incarnation, remote.Name, incarnation)
	}
	return newLink(conn, remote, limits, &linker.traffic), nil
}

// newTransport returns an HTTP transport for one handshake. It pools nothing, because a link owns its connection.
func newTransport() *http.Transport {
	return &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// exchangeHellos sends this instance's hello and returns the peer's. It closes conn with a reason if the versions
// differ.
func (linker *Linker) exchangeHellos(ctx context.Context, conn *websocket.Conn) (Hello, error) {
	conn.SetReadLimit(maxHelloBytes)
	hello := linker.self
	hello.UptimeMS = max(1, time.Since(linker.startedAt).Milliseconds())
	encoded, err := encode(hello)
	if err != nil {
		return Hello{}, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, encoded); err != nil {
		return Hello{}, eris.Wrap(err, "sending hello")
	}
	var buffer bytes.Buffer
	if err := readFrame(ctx, conn, &buffer); err != nil {
		return Hello{}, eris.Wrap(err, "receiving hello")
	}
	remote, err := decodeHello(buffer.Bytes())
	if err != nil {
		_ = conn.Close(websocket.StatusInvalidFramePayloadData, "first frame is not a hello")
		return Hello{}, err
	}
	if remote.Version != linker.self.Version {
		reason := fmt.Sprintf("version %d is refused, this instance speaks version %d", remote.Version, linker.self.Version)
		_ = conn.Close(statusVersionMismatch, reason)
		return Hello{}, eris.Errorf("%s of %s: %s", remote.Name, remote.Domain, reason)
	}
	return remote, nil
}

// ServeHTTP accepts a link from another instance and serves it until it ends.
func (linker *Linker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	conn, err := websocket.Accept(writer, request, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		return
	}
	if conn.Subprotocol() != Subprotocol {
		_ = conn.Close(websocket.StatusPolicyViolation, "subprotocol must be "+Subprotocol)
		return
	}
	if err := linker.accept(conn); err != nil {
		linker.logger.Debug("accepted link ended", "error", eris.ToString(err, false))
	}
}

// accept performs the handshake on conn and serves the link until it ends.
func (linker *Linker) accept(conn *websocket.Conn) error {
	linker.mu.Lock()
	if linker.closed {
		linker.mu.Unlock()
		return conn.Close(websocket.StatusGoingAway, "instance is stopping")
	}
	linker.group.Add(1)
	linker.mu.Unlock()
	defer linker.group.Done()
	handshake, cancel := context.WithTimeout(linker.ctx, linker.limits.IOTimeout)
	remote, err := linker.exchangeHellos(handshake, conn)
	cancel()
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	limits := linker.memberLimits()
	if remote.Domain != linker.self.Domain {
		limits = linker.limits
		if !linker.reserveAccepted() {
			return conn.Close(statusTooManyLinks, "too many links from other failure domains")
		}
		defer linker.releaseAccepted()
	}
	return linker.serve(linker.ctx, newLink(conn, remote, limits, &linker.traffic))
}

// reserveAccepted counts a link opened by another failure domain and reports whether the limit allows it.
func (linker *Linker) reserveAccepted() bool {
	linker.mu.Lock()
	defer linker.mu.Unlock()
	if linker.accepted >= linker.limits.MaxRemoteLinks {
		return false
	}
	linker.accepted++
	return true
}

func (linker *Linker) releaseAccepted() {
	linker.mu.Lock()
	defer linker.mu.Unlock()
	linker.accepted--
}
