package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/linker"
)

const (
	// peerRequestInterval is the delay between requests to peers while the log cannot be read. Together with the
	// timeout of a read it stays below the 10 s in which a bundle must be in force.
	peerRequestInterval = 2 * time.Second
	// peerRequestTimeout bounds one request to a peer.
	peerRequestTimeout = time.Second
)

// requestFromPeers asks other instances for a newer bundle. It asks one instance of its own failure domain and, for the
// common part, one of another failure domain, because an entire failure domain may be cut off from the log.
func (server *Server) requestFromPeers(ctx context.Context, bundles *bundler.Bundler) {
	request := linker.BundleRequest{Stream: bundles.Stream(), After: -1}
	if offer, ok := bundles.Offer(); ok {
		request.After = offer.Offset
	}
	if peers := server.membership.recentlyHeard(time.Now()); len(peers) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		response, err := server.linker.Call(callCtx, peers[rand.IntN(len(peers))], request)
		cancel()
		server.handleOffer(bundles, response, err)
	}
	if domain, ok := server.randomOtherDomain(); ok && bundles.Stream() == bundler.Stream {
		callCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		response, err := server.callDomain(callCtx, domain, request)
		cancel()
		server.handleOffer(bundles, response, err)
	}
}

// randomOtherDomain picks a random failure domain of the bundle in force. It returns false if that is this instance's
// own, if there is no other, or if no instance list is configured.
func (server *Server) randomOtherDomain() (string, bool) {
	bundle := server.bundle.Load()
	if bundle == nil || server.lister == nil || len(bundle.FailureDomains()) < 2 {
		return "", false
	}
	domains := bundle.FailureDomains()
	chosen := domains[rand.IntN(len(domains))]
	return chosen, chosen != server.domain()
}

// handleOffer puts the offered bundle in force if its signatures are valid and it is newer.
func (server *Server) handleOffer(bundles *bundler.Bundler, response linker.Response, err error) {
	if err != nil {
		server.logger.Debug("no bundle received from peer", "stream", bundles.Stream(), "error", eris.ToString(err, false))
		return
	}
	offered := response.(linker.BundleResponse)
	if len(offered.Record) == 0 {
		return
	}
	record, err := bundler.DecodeRecord(offered.Record)
	if err == nil {
		var events []bundler.Event
		events, err = bundles.HandleOffer(bundler.Offer{Record: record, Offset: offered.Offset, UnreplacedThrough: offered.UnreplacedThrough}, time.Now())
		server.applyEvents(bundles, events)
	}
	if err != nil {
		server.logger.Warn("bundle from peer rejected", "stream", bundles.Stream(), "offset", offered.Offset, "error", eris.ToString(err, false))
	}
}

// serveBundleRequest responds with the bundle in force of the stream, if it is newer than the sender's.
func (server *Server) serveBundleRequest(from linker.Hello, request linker.BundleRequest) {
	response := linker.BundleResponse{ID: request.ID}
	for _, bundles := range server.composer.Bundlers() {
		offer, ok := bundles.Offer()
		if bundles.Stream() != request.Stream || !ok || offer.Offset <= request.After {
			continue
		}
		data, err := offer.Record.Encode()
		if err != nil {
			server.logger.Error("bundle not offered", "stream", request.Stream, "error", eris.ToString(err, false))
			continue
		}
		response.Offset, response.UnreplacedThrough, response.Record = offer.Offset, offer.UnreplacedThrough, data
	}
	server.reply(from, response)
}
