package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// joinMesh puts a proxy between each two machines, and between each machine and the store, so that single machines can be cut off
// from both. Clients and runners still reach a machine that is cut off. It is called before the instances are started.
func (world *world) joinMesh() error {
	for _, from := range world.machines {
		view := &storeView{store: world.store, machine: from, shown: make(map[string]string)}
		for _, to := range world.machines {
			if from == to {
				continue
			}
			address := fmt.Sprintf("%s:%d", to.ip, world.ports[2])
			shown, err := forwardTo(address, func() bool { return from.cut.Load() || to.cut.Load() })
			if err != nil {
				return err
			}
			view.shown[address] = shown
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		from.storePort = listener.Addr().(*net.TCPAddr).Port
		server := &http.Server{Handler: view, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}

// storeView shows a machine the store, with the addresses of the proxies to the other machines.
type storeView struct {
	store   *store
	machine *machine
	// shown holds the addresses of proxies by the addresses of the machines behind them.
	shown map[string]string
}

// ServeHTTP serves a call once the machine is not cut off.
func (view *storeView) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	for view.machine.cut.Load() {
		time.Sleep(time.Millisecond)
	}
	if request.URL.Query().Get("topic") != "keyed.instances" || request.Method != http.MethodGet {
		view.store.ServeHTTP(writer, request)
		return
	}
	copied := newStore()
	view.store.mu.Lock()
	original, shown := view.store.topic("keyed.instances"), copied.topic("keyed.instances")
	shown.changed = original.changed
	for _, data := range original.records {
		data = bytes.Clone(data)
		for address, proxied := range view.shown {
			data = bytes.ReplaceAll(data, []byte(address), []byte(proxied))
		}
		shown.records = append(shown.records, data)
	}
	view.store.mu.Unlock()
	copied.ServeHTTP(writer, request)
}

// forwardTo serves a proxy to an address and returns its own. While cut returns true, bytes wait; they are delivered afterwards, as on a
// network that is cut without a reset and heals.
func forwardTo(address string, cut func() bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.4.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			for cut() {
				time.Sleep(time.Millisecond)
			}
			to, err := net.Dial("tcp", address)
			if err != nil {
				_ = from.Close()
				continue
			}
			go forward(from, to, cut)
			go forward(to, from, cut)
		}
	}()
	return listener.Addr().String(), nil
}

// forward copies what one end sends to the other one, and closes both when one ends.
func forward(from, to net.Conn, cut func() bool) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		for cut() {
			time.Sleep(time.Millisecond)
		}
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			_, _ = from.Close(), to.Close()
			return
		}
	}
}
