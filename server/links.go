package server

import (
	"github.com/hyssoplift/hyssoplift/linker"
)

// receive takes a message of another instance; it must not block, because it runs on the link's reader.
func (server *Server) receive(from linker.Hello, message linker.Message) {
	switch message := message.(type) {
	case linker.Hello:
		server.membership.meet(message)
	case linker.Heartbeat:
		server.membership.hear(from, message)
	case linker.KeeperMessage:
		if from.Domain == server.domain() {
			server.decider.receive(from.Incarnation, message.Message)
		}
	case linker.Forward:
		go func() { server.serveForward(from, message) }()
	case linker.Lookup:
		go func() { server.serveLookup(from, message) }()
	case linker.Cancel:
		go func() { server.serveCancel(from, message) }()
	case linker.BundleRequest:
		go func() { server.serveBundle(from, message) }()
	}
}
