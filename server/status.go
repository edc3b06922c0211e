package server

import (
	"net/http"

	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// Status is the JSON body of GET /v1/status.
type Status struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`
	Ready         bool   `json:"ready"`
	Stopping      bool   `json:"stopping"`
	BundleVersion int64  `json:"bundle-version"`
	JobsInFlight  int    `json:"jobs-in-flight"`
	// View is the number of the view in force, -1 if none is known.
	View      int64    `json:"view"`
	Members   []string `json:"members"`
	Departing []string `json:"departing"`
	// Synced says that every slice that this instance owns is served.
	Synced  bool `json:"synced"`
	Records int  `json:"records"`
}

// KeyPrefix is the JSON body of GET /v1/key-prefix.
type KeyPrefix struct {
	Prefix string `json:"key-prefix"`
}

func (server *Server) handleStatus(exchange *exchange) {
	number, view := server.keeper.View()
	status := Status{
		Instance:      server.self.Name,
		Incarnation:   server.self.Incarnation,
		FailureDomain: server.domain(),
		Ready:         server.ready(),
		Stopping:      server.drain.started(),
		JobsInFlight:  server.drain.inFlight(),
		View:          number,
		Members:       memberNames(view.Members),
		Departing:     memberNames(view.Departing),
		Synced:        server.keeper.Synced(),
		Records:       server.keeper.RecordCount(),
	}
	if bundle := server.bundle.Load(); bundle != nil {
		status.BundleVersion = bundle.Version()
	}
	writeJSON(exchange, http.StatusOK, encoder.ContentTypeJSON, status)
}

func memberNames(members []keeper.Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name
	}
	return names
}

func (server *Server) handlePrefix(exchange *exchange) {
	// The prefix that every response carries is the one to show.
	writeJSON(exchange, http.StatusOK, encoder.ContentTypeJSON, KeyPrefix{Prefix: exchange.Header().Get(prefixHeader)})
}
