package server

import (
	"net/http"

	"github.com/hyssoplift/hyssoplift/encoder"
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
}

func (server *Server) handleStatus(exchange *exchange) {
	status := Status{
		Instance:      server.settings.Text("instance"),
		Incarnation:   server.incarnation,
		FailureDomain: server.settings.Text("failure-domain"),
		Ready:         server.ready(),
		Stopping:      server.drain.started(),
		JobsInFlight:  server.drain.inFlight(),
	}
	if bundle := server.bundle.Load(); bundle != nil {
		status.BundleVersion = bundle.Version()
	}
	writeJSON(exchange, http.StatusOK, encoder.ContentTypeJSON, status)
}
