package server

import (
	"github.com/hyssoplift/hyssoplift/linker"
)

// receive handles a message of another instance. It runs on the reader goroutine of the link and must not block.
func (server *Server) receive(from linker.Hello, message linker.Message) {
	switch message := message.(type) {
	case linker.Hello:
		server.membership.handleHello(message)
	case linker.Heartbeat:
		server.membership.handleHeartbeat(from, message)
	case linker.KeeperMessage:
		if from.Domain == server.domain() {
			server.keeperDriver.receive(from.Incarnation, message.Message)
		}
	case linker.Forward:
		go func() { server.serveForward(from, message) }()
	case linker.Lookup:
		go func() { server.serveLookup(from, message) }()
	case linker.Cancel:
		go func() { server.serveCancel(from, message) }()
	case linker.BundleRequest:
		go func() { server.serveBundleRequest(from, message) }()
	}
}
