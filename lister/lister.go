package lister

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxResponseBytes is the maximum number of bytes read from one response.
	MaxResponseBytes = 4 << 20
	// requestTimeout bounds one request, so that an unresponsive server does not block the caller.
	requestTimeout = 3 * time.Second
)

// State is the state of an instance as reported by the platform.
type State string

// States of a listed instance.
const (
	// Live means that the instance is in service.
	Live State = "live"
	// Leaving means that the instance is about to stop.
	Leaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	// Address is the host and port that the instance listens on.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// InstanceList is the response body of a list request.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Lister reads the list of instances.
type Lister struct {
	baseURL string
	client  *http.Client
}

// New returns a client for the list served at address, a host and port.
func New(address string) *Lister {
	return &Lister{baseURL: "http://" + address, client: &http.Client{Timeout: requestTimeout}}
}

// Instances returns the instances listed in failureDomain, sorted by name. The list is eventually consistent: it may
// still contain stopped instances and lack new ones.
func (lister *Lister) Instances(ctx context.Context, failureDomain string) ([]Instance, error) {
	listURL := lister.baseURL + "/instances?failure-domain=" + url.QueryEscape(failureDomain)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, listURL, nil)
	if err != nil {
		return nil, eris.Wrap(err, "creating the request for the instance list")
	}
	response, err := lister.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "reading the instance list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("reading the instance list: unexpected status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "reading the instance list")
	}
	var list InstanceList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, eris.Wrap(err, "decoding the instance list")
	}
	if err := list.validate(failureDomain); err != nil {
		return nil, err
	}
	return list.Instances, nil
}

// validate checks that every instance is in failureDomain and has a name, a known state and a valid address.
func (list InstanceList) validate(failureDomain string) error {
	for _, instance := range list.Instances {
		if instance.Name == "" || instance.FailureDomain != failureDomain {
			return eris.Errorf("instance list entry has name %q and failure domain %q, expected a name and failure domain %q", instance.Name, instance.FailureDomain, failureDomain)
		}
		if instance.State != Live && instance.State != Leaving {
			return eris.Errorf("instance list entry %s has unknown state %q", instance.Name, instance.State)
		}
		if _, _, err := net.SplitHostPort(instance.Address); err != nil {
			return eris.Wrapf(err, "instance list entry %s has invalid address %q", instance.Name, instance.Address)
		}
	}
	return nil
}
