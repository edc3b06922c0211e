package server

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/lister"
)

const (
	// domainMemory is how long the list of another failure domain is used before it is read again.
	domainMemory = 5 * time.Second
	// maxDomains bounds the failure domains whose lists are remembered.
	maxDomains = 64
)

// domains remembers the instances of other failure domains for a short time.
type domains struct {
	lister *lister.Lister

	mu    sync.Mutex
	lists map[string]domainList
}

type domainList struct {
	instances []lister.Instance
	until     time.Time
}

func newDomains(lister *lister.Lister) *domains {
	return &domains{lister: lister, lists: make(map[string]domainList)}
}

func (domains *domains) instances(ctx context.Context, domain string) ([]lister.Instance, error) {
	now := time.Now()
	domains.mu.Lock()
	list, ok := domains.lists[domain]
	domains.mu.Unlock()
	if ok && now.Before(list.until) {
		return list.instances, nil
	}
	instances, err := domains.lister.Instances(ctx, domain)
	if err != nil {
		if ok {
			// An old list is better than none: the instances may still be there.
			return list.instances, nil
		}
		return nil, err
	}
	domains.mu.Lock()
	defer domains.mu.Unlock()
	if len(domains.lists) >= maxDomains {
		clear(domains.lists)
	}
	domains.lists[domain] = domainList{instances: instances, until: now.Add(domainMemory)}
	return instances, nil
}
