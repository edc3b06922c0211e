package linker

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrLinkClosed means that the link closed before the response arrived. The request may have taken effect.
var ErrLinkClosed = eris.New("link closed before the response")

// pendingCall is a request that waits for its response.
type pendingCall struct {
	incarnation string
	request     Request
	response    chan Response
}

// calls matches responses to pending requests.
type calls struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]pendingCall
}

func newCalls() *calls {
	// A random first ID prevents a response to an earlier incarnation from matching a request of this one.
	return &calls{next: rand.Uint64(), pending: make(map[uint64]pendingCall)}
}

// register assigns an ID to request and returns it with the request and the channel that receives the response.
func (calls *calls) register(incarnation string, request Request) (uint64, Request, <-chan Response) {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	calls.next++
	request = request.withID(calls.next)
	response := make(chan Response, 1)
	calls.pending[calls.next] = pendingCall{incarnation: incarnation, request: request, response: response}
	return calls.next, request, response
}

func (calls *calls) remove(id uint64) {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	delete(calls.pending, id)
}

// complete delivers response to the request that it answers and reports whether there was one. The ID, the sender and
// the subject must match. Only the first response to a request is delivered.
func (calls *calls) complete(incarnation string, response Response) bool {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	call, ok := calls.pending[response.requestID()]
	if !ok || call.incarnation != incarnation || !call.request.answeredBy(response) {
		return false
	}
	delete(calls.pending, response.requestID())
	call.response <- response
	return true
}

// Call sends request to the instance and returns its response. After an error the request may have taken effect, unless
// the error is ErrNoLink, ErrQueueFull or ErrUnsendable.
func (linker *Linker) Call(ctx context.Context, incarnation string, request Request) (Response, error) {
	link := linker.link(incarnation)
	if link == nil {
		return nil, ErrNoLink
	}
	return linker.call(ctx, link, request)
}

// call sends request on link and waits for the response.
func (linker *Linker) call(ctx context.Context, link *link, request Request) (Response, error) {
	id, request, responses := linker.calls.register(link.remote.Incarnation, request)
	defer linker.calls.remove(id)
	if err := linker.sendOn(link, request); err != nil {
		return nil, err
	}
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-link.done:
	}
	// The response may have arrived just before the link closed.
	select {
	case response := <-responses:
		return response, nil
	default:
		return nil, ErrLinkClosed
	}
}
