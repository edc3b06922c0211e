package linker

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrLinkClosed means that the link closed before the response came; the request may have taken effect.
var ErrLinkClosed = eris.New("link closed before the response")

// waiter is one caller that waits for the response to its request.
type waiter struct {
	incarnation string
	request     Request
	response    chan Response
}

// calls matches responses to requests.
type calls struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]waiter
}

func newCalls() *calls {
	// A random start keeps an answer to an earlier incarnation from matching a request of this one.
	return &calls{next: rand.Uint64(), waiting: make(map[uint64]waiter)}
}

func (calls *calls) add(incarnation string, request Request) (uint64, Request, <-chan Response) {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	calls.next++
	request = request.withID(calls.next)
	response := make(chan Response, 1)
	calls.waiting[calls.next] = waiter{incarnation: incarnation, request: request, response: response}
	return calls.next, request, response
}

func (calls *calls) remove(id uint64) {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	delete(calls.waiting, id)
}

// settle hands response to the request that it belongs to and reports whether one waited: its number, its
// sender and its subject must all match, and it must be the first answer.
func (calls *calls) settle(incarnation string, response Response) bool {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	waiter, ok := calls.waiting[response.requestID()]
	if !ok || waiter.incarnation != incarnation || !waiter.request.answeredBy(response) {
		return false
	}
	delete(calls.waiting, response.requestID())
	waiter.response <- response
	return true
}

// Call sends request to the instance and returns its response; after an error the request may have taken
// effect unless the error is ErrNoLink or ErrQueueFull.
func (linker *Linker) Call(ctx context.Context, incarnation string, request Request) (Response, error) {
	link := linker.link(incarnation)
	if link == nil {
		return nil, ErrNoLink
	}
	return linker.call(ctx, link, request)
}

func (linker *Linker) call(ctx context.Context, link *link, request Request) (Response, error) {
	id, request, responses := linker.calls.add(link.remote.Incarnation, request)
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
