package executor

import (
	"time"

	"github.com/hyssoplift/hyssoplift/warmer"
)

// Service is what the configuration says of the targets of a service.
type Service struct {
	Name string
	// MaxConnections is how many connections each target accepts from all instances together; 0 if unknown.
	MaxConnections int
	// ColdPeriod is how long a target is slow after its start or after a time without work; 0 if it is not.
	ColdPeriod time.Duration
	// ColdStartsPerSecond is the rate of starts that suits a cold target; 0 if unknown.
	ColdStartsPerSecond float64
}

// ColdBounds bounds the starts on a cold target.
type ColdBounds struct {
	// Overage is by how much the rate that suits the target may be exceeded, and Slack how many starts are allowed beyond that; 0 if
	// unknown.
	Overage float64
	Slack   float64
}

// SetServices replaces what is known of the services.
func (executor *Executor) SetServices(services []Service) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.services = services
	executor.peers.SetTargetConnections(smallestConnectionLimit(services))
	executor.setColdPolicies()
}

// SetColdBounds sets the bounds for the cold targets of all services.
func (executor *Executor) SetColdBounds(bounds ColdBounds) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.coldBounds = bounds
	executor.setColdPolicies()
}

// setColdPolicies passes on what is known of cold targets; the caller holds the lock.
func (executor *Executor) setColdPolicies() {
	policies := make(map[string]warmer.Policy, len(executor.services))
	for _, service := range executor.services {
		policies[service.Name] = warmer.Policy{
			Period: service.ColdPeriod, StartsPerSecond: service.ColdStartsPerSecond, Overage: executor.coldBounds.Overage, Slack: executor.coldBounds.Slack,
		}
	}
	executor.scheduler.SetColdPolicies(policies, executor.now())
	executor.runActions()
}

// smallestConnectionLimit returns the smallest known number of connections that targets accept; 0 if none is known. All
// services are assumed to have equal limits.
func smallestConnectionLimit(services []Service) int {
	smallest := 0
	for i := range services {
		if limit := services[i].MaxConnections; limit > 0 && (smallest == 0 || limit < smallest) {
			smallest = limit
		}
	}
	return smallest
}
