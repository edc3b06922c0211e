package server

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/lister"
)

const (
	// domainListTTL is how long the list of another failure domain is cached.
	domainListTTL = 5 * time.Second
	// maxCachedDomains is the maximum number of cached lists.
	maxCachedDomains = 64
)

// domainCache caches the instance lists of other failure domains.
type domainCache struct {
	lister *lister.Lister

	mu    sync.Mutex
	lists map[string]domainList
}

type domainList struct {
	instances []lister.Instance
	expires   time.Time
}

func newDomainCache(lister *lister.Lister) *domainCache {
	return &domainCache{lister: lister, lists: make(map[string]domainList)}
}

// instances returns the instances of the failure domain.
func (domainCache *domainCache) instances(ctx context.Context, domain string) ([]lister.Instance, error) {
	now := time.Now()
	domainCache.mu.Lock()
	list, ok := domainCache.lists[domain]
	domainCache.mu.Unlock()
	if ok && now.Before(list.expires) {
		return list.instances, nil
	}
	instances, err := domainCache.lister.Instances(ctx, domain)
	if err != nil {
		if ok {
			// An expired list is better than none: the instances may still be there.
			return list.instances, nil
		}
		return nil, err
	}
	domainCache.mu.Lock()
	defer domainCache.mu.Unlock()
	if len(domainCache.lists) >= maxCachedDomains {
		clear(domainCache.lists)
	}
	domainCache.lists[domain] = domainList{instances: instances, expires: now.Add(domainListTTL)}
	return instances, nil
}
