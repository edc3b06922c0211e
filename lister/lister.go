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
	// MaxResponseBytes bounds what is read of one response of the list.
	MaxResponseBytes = 4 << 20
	// requestTimeout bounds one request, so that a list that hangs does not hold up the caller.
	requestTimeout = 3 * time.Second
)

// State says whether an instance is in service.
type State string

// States of an instance.
const (
	// Live means that the platform counts the instance as in service.
	Live State = "live"
	// Leaving means that the instance will stop.
	Leaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	// Address is the host and port that the instance serves on.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// InstanceList is the list's response.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Lister reads the list of instances.
type Lister struct {
	base   string
	client *http.Client
}

// New returns a client of the list at address, a host and port.
func New(address string) *Lister {
	return &Lister{base: "http://" + address, client: &http.Client{Timeout: requestTimeout}}
}

// Instances returns the instances that the list shows in failureDomain, sorted by name; the list lags, so
// some may have gone and new ones may be missing.
func (lister *Lister) Instances(ctx context.Context, failureDomain string) ([]Instance, error) {
	target := lister.base + "/instances?failure-domain=" + url.QueryEscape(failureDomain)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrap(err, "preparing to read the instance list")
	}
	response, err := lister.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "reading the instance list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the instance list answered %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "reading the instance list")
	}
	var list InstanceList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, eris.Wrap(err, "decoding the instance list")
	}
	if err := list.check(failureDomain); err != nil {
		return nil, err
	}
	return list.Instances, nil
}

func (list InstanceList) check(failureDomain string) error {
	for _, instance := range list.Instances {
		if instance.Name == "" || instance.FailureDomain != failureDomain {
			return eris.Errorf("the instance list shows %q of failure domain %q, expected one of %q", instance.Name, instance.FailureDomain, failureDomain)
		}
		if instance.State != Live && instance.State != Leaving {
			return eris.Errorf("the instance list shows %s in the unknown state %q", instance.Name, instance.State)
		}
		if _, _, err := net.SplitHostPort(instance.Address); err != nil {
			return eris.Wrapf(err, "the instance list shows %s at the address %q", instance.Name, instance.Address)
		}
	}
	return nil
}
