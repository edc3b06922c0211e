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
	// offerInterval spaces the questions to peers while the log cannot be read: with the timeout of a read it stays
	// below the 10 s in which a bundle must be in force.
	offerInterval = 2 * time.Second
	// offerTimeout bounds one question.
	offerTimeout = time.Second
)

// askPeers takes the bundle that another instance has in force, if it is newer. It asks one instance of the own
// failure domain and, for the common part, one of another failure domain, since a whole one may be cut off from the log.
func (server *Server) askPeers(ctx context.Context, bundles *bundler.Bundler) {
	request := linker.BundleRequest{Stream: bundles.Stream(), After: -1}
	if offer, ok := bundles.Offer(); ok {
		request.After = offer.Offset
	}
	if near := server.membership.heardLately(time.Now()); len(near) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		response, err := server.linker.Call(callCtx, near[rand.IntN(len(near))], request)
		cancel()
		server.takeOffer(bundles, response, err)
	}
	if domain, ok := server.otherDomain(); ok && bundles.Stream() == bundler.Stream {
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		response, err := server.callDomain(callCtx, domain, request)
		cancel()
		server.takeOffer(bundles, response, err)
	}
}

// otherDomain returns another failure domain of the bundle in force.
func (server *Server) otherDomain() (string, bool) {
	bundle := server.bundle.Load()
	if bundle == nil || server.lister == nil || len(bundle.FailureDomains()) < 2 {
		return "", false
	}
	domains := bundle.FailureDomains()
	chosen := domains[rand.IntN(len(domains))]
	return chosen, chosen != server.domain()
}

// takeOffer puts the offered bundle in force if its signatures prove it and it is newer.
func (server *Server) takeOffer(bundles *bundler.Bundler, response linker.Response, err error) {
	if err != nil {
		server.logger.Debug("peer gave no bundle", "stream", bundles.Stream(), "error", eris.ToString(err, false))
		return
	}
	offered := response.(linker.BundleResponse)
	if len(offered.Record) == 0 {
		return
	}
	record, err := bundler.DecodeRecord(offered.Record)
	if err == nil {
		var events []bundler.Event
		events, err = bundles.Take(bundler.Offer{Record: record, Offset: offered.Offset, Through: offered.Through}, time.Now())
		server.show(bundles, events)
	}
	if err != nil {
		server.logger.Warn("bundle of a peer refused", "stream", bundles.Stream(), "offset", offered.Offset, "error", eris.ToString(err, false))
	}
}

// serveBundle answers with the bundle in force of the stream, if it is newer than the one that the sender has.
func (server *Server) serveBundle(from linker.Hello, request linker.BundleRequest) {
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
		response.Offset, response.Through, response.Record = offer.Offset, offer.Through, data
	}
	server.reply(from, response)
}
