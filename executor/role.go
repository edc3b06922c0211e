package executor

// recordRole logs and counts that this instance has begun to delegate its jobs, or has ceased to; the caller holds the lock.
func (executor *Executor) recordRole() {
	plan := executor.peers.Apportionment()
	executor.meter.roleChanges.Inc()
	executor.logger.Info("delegation changed", "passes-on", executor.delegating, "weight", executor.self.Weight, "rule", int(plan.Rule()),
		"starting", plan.Starting(), "starting-share", plan.Share(), "connection-limit", executor.peers.ConnectionLimit(false))
}
