package linker

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrTooManyLinks means that the maximum number of links to other failure domains is open.
var ErrTooManyLinks = eris.New("too many links to other failure domains")

// remoteLink is a link to another failure domain, either open or being opened. The other fields are valid once ready is
// closed.
type remoteLink struct {
	ready chan struct{}
	link  *link
	err   error
}

// CallRemote sends request to the instance at address in another failure domain and returns its response. The link is
// opened on demand and closed when idle. After an error the request may have taken effect, unless the error is
// ErrNoLink, ErrQueueFull, ErrUnsendable or ErrTooManyLinks.
func (linker *Linker) CallRemote(ctx context.Context, address string, request Request) (Response, error) {
	remote, err := linker.openRemote(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ErrNoLink
	case <-remote.ready:
	}
	if remote.err != nil {
		linker.logger.Debug("link to another failure domain failed", "address", address, "error", eris.ToString(remote.err, false))
		return nil, ErrNoLink
	}
	return linker.call(ctx, remote.link, request)
}

// openRemote returns the link to address and opens it if there is none.
func (linker *Linker) openRemote(address string) (*remoteLink, error) {
	linker.mu.Lock()
	defer linker.mu.Unlock()
	if remote := linker.remote[address]; remote != nil {
		return remote, nil
	}
	if linker.closed || len(linker.remote) >= linker.limits.MaxRemoteLinks {
		return nil, ErrTooManyLinks
	}
	remote := &remoteLink{ready: make(chan struct{})}
	linker.remote[address] = remote
	linker.group.Go(func() {
		remote.link, remote.err = linker.dial(linker.ctx, address, "", linker.limits)
		close(remote.ready)
		if remote.err == nil {
			_ = linker.serve(linker.ctx, remote.link)
		}
		linker.mu.Lock()
		delete(linker.remote, address)
		linker.mu.Unlock()
	})
	return remote, nil
}
