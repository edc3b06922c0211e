package linker

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

const (
	// Path is where an instance accepts links.
	Path = "/v1/peer"
	// Subprotocol names the message format in the WebSocket handshake.
	Subprotocol = "hyssoplift.v1.cbor"

	// maxHelloBytes bounds the first frame, before the peer is known to speak the protocol.
	maxHelloBytes = 4096

	// Close codes from the range that RFC 6455 leaves to applications.
	statusOtherVersion websocket.StatusCode = 4001
	statusWrongPeer    websocket.StatusCode = 4002
	statusTooManyLinks websocket.StatusCode = 4003
)

// dial connects to address and returns the link once both sides have said hello; a non-empty incarnation
// must match the peer's.
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
	remote, err := linker.greet(handshake, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	if incarnation != "" && remote.Incarnation != incarnation {
		_ = conn.Close(statusWrongPeer, "another incarnation was expected at this address")
		return nil, eris.Errorf("%s is incarnation %s of %s, expected %s", address, remote.Incarnation, remote.Name, incarnation)
	}
	return newLink(conn, remote, limits, &linker.traffic), nil
}

// newTransport returns a transport for one handshake; a link owns its connection, so nothing is pooled.
func newTransport() *http.Transport {
	return &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// greet sends the own hello and returns the peer's; it closes conn with a reason if the versions differ.
func (linker *Linker) greet(ctx context.Context, conn *websocket.Conn) (Hello, error) {
	conn.SetReadLimit(maxHelloBytes)
	encoded, err := encode(linker.self)
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
		_ = conn.Close(statusOtherVersion, reason)
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
	remote, err := linker.greet(handshake, conn)
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
