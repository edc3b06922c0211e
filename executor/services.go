package executor

import "time"

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

// SetServices replaces what is known of the services.
func (executor *Executor) SetServices(services []Service) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.services = services
	executor.peers.SetTargetConnections(smallestConnectionLimit(services))
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
