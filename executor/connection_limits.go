package executor

import "time"

// noConnectionPause is how long this instance waits until it sends a poll or a stop again for which no connection to the target
// was free. The client has waited for one before.
const noConnectionPause = 5 * time.Millisecond

// connectionLimits holds how many connections this instance may hold to a target that it reads and to another one; 0 means any
// number.
type connectionLimits struct {
	reader int
	other  int
}

// updateConnectionLimits passes the limits of the connections to targets on to the client if the limits, the readers or the targets
// have changed. The caller holds the lock.
func (executor *Executor) updateConnectionLimits() {
	limits := connectionLimits{executor.peers.ConnectionLimit(true), executor.peers.ConnectionLimit(false)}
	if limits == executor.connectionLimits && (limits == connectionLimits{} || !executor.readersChanged) {
		return
	}
	executor.connectionLimits, executor.readersChanged = limits, false
	// A rejected start uses a connection, which is scarce only where there is a limit.
	executor.scheduler.SetReserving(limits != connectionLimits{})
	executor.client.SetConnectionLimits(executor.limitsByAddress(limits))
}

// limitsByAddress returns the limit of each target. If a former target has the address of another one, the limit without any bound
// or the larger one counts. The caller holds the lock.
func (executor *Executor) limitsByAddress(limits connectionLimits) map[string]int {
	byAddress := make(map[string]int, len(executor.pollers))
	for id, poller := range executor.pollers {
		target, ok := executor.scheduler.Target(id)
		if !ok {
			continue
		}
		limit := limits.other
		if poller.isReader.Load() {
			limit = limits.reader
		}
		if known, ok := byAddress[target.Address]; ok && (known == 0 || limit != 0 && known > limit) {
			continue
		}
		byAddress[target.Address] = limit
	}
	return byAddress
}
