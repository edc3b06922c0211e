package estimator

import "math"

// instanceSizes are the sizes of entry instances for which the page shows the number required.
var instanceSizes = []struct{ cores, memory float64 }{{2, 4e9}, {4, 8e9}, {8, 16e9}, {16, 32e9}}

func (estimate *Estimate) writeSizing(page *page) {
	scale := estimate.scale
	page.linef("\n## Entry instances for the peak\n")
	page.linef("Sum of the request rows at %s task starts/s (extrapolated). A failure domain has at least %d instances: a", formatNumber(scale.startRate), minInstancesPerDomain)
	page.linef("witness and a spare. The last column keeps the peak served while one other failure domain of a region of")
	page.linef("three is lost and its work stays in the region.\n")
	page.linef("| tasks per job | busy cores in all | memory in all | instance size | instances per failure domain | in all | with the loss covered |")
	page.linef("|---|---|---|---|---|---|---|")
	const loadGrowthInRegionOfThree = 1.5
	for _, tasksPerJob := range []float64{1, scale.tasksPerJob, 130} {
		demand := estimate.demandFor(tasksPerJob)
		for _, size := range instanceSizes {
			normal := estimate.requiredPerDomain(demand, size.cores, size.memory, 1)
			withLoss := estimate.requiredPerDomain(demand, size.cores, size.memory, loadGrowthInRegionOfThree)
			page.linef("| %s | %s | %s | %s cores, %sB | %s | %s | %s |", formatNumber(tasksPerJob), demand.cores, demand.memory,
				formatNumber(size.cores), formatNumber(size.memory), formatNumber(normal), formatNumber(normal*scale.domains), formatNumber(withLoss*scale.domains))
		}
	}
	// The benchmark runs on two cores, so twice the wall time per job is an upper bound of its CPU time.
	upperBound := estimate.measurements.evaluateTerm(measuredTerm("server.Throughput/entry", "tasks", "ns/op", scale.tasksPerJob, 2e-9*scale.startRate/scale.tasksPerJob))
	page.linef("\nCross-check, upper bound: `server.Throughput/entry` keeps two cores busy with caller, instance and runner together;")
	page.linef("at %s tasks per job the peak takes %s cores for all three.", formatNumber(scale.tasksPerJob), upperBound)
}

func (estimate *Estimate) writeLossScenarios(page *page) {
	scale := estimate.scale
	page.linef("\n## Loss of a failure domain or a region\n")
	page.linef("All calculated; the load is assumed even over the failure domains.\n")
	page.linef("| lost | starts/s that move | load of each taker | usable share needed before the loss |\n|---|---|---|---|")
	for _, loss := range estimate.losses() {
		page.linef("| %s | %s | %+.1f%% | %.0f%% |", loss.name, formatNumber(scale.startRate*loss.lost/scale.domains),
			100*(loss.loadGrowth()-1), math.Floor(100/loss.loadGrowth()))
	}
	page.linef(`
- New jobs: the platform's balancer sends callers to instances of other failure domains, which issue prefixes of
  their own; the work runs on targets there. The lost targets' slots are gone too, so the takers need free slots
  in the same proportion.
- Jobs in flight in the lost failure domain: callers see a cut connection; their issued keys are answered unknown
  until the failure domain is back, since no other failure domain may decide its slices.
- Plain keys: 1/%s of them hash to the lost failure domain and are answered unknown until a bundle without it
  is in force; resubmissions across that change are outside the promise of design section 4.
- Spill-over inside a region comes before spill-over between regions; both need links to the other failure domain,
  opened on demand. A partition between regions stops only the spill-over and the forwards between them.
- Replacements: %s instances that fail or are replaced each day are ten for each of %s entry instances; if the design
  page means targets, the rows of views are far too high, never too low.
- The loss of a rack or switch: at most 8 of %s targets; ejection and leaving handle it without a move of load.`,
		formatNumber(scale.domains), formatNumber(scale.failuresPerDay+scale.replacementsPerDay), formatNumber(scale.instances()), formatNumber(scale.targets))
}

func (estimate *Estimate) writeLogAppends(page *page) {
	scale := estimate.scale
	page.linef("\n## What the log's appends are spent on\n")
	page.linef("| use | appends/s | bytes per append | bytes/s |\n|---|---|---|---|")
	var rate, bytes float64
	for _, use := range estimate.logAppends() {
		page.linef("| %s | %.3f | %s | %s |", use.name, use.rate, formatNumber(use.bytes), formatNumber(use.rate*use.bytes))
		rate += use.rate
		bytes += use.rate * use.bytes
	}
	page.linef("| **sum** | %.3f | | %s |", rate, formatNumber(bytes))
	page.linef("| **left of %s** | %.1f | | |", formatNumber(scale.maxLogAppendRate), scale.maxLogAppendRate-rate)
	page.linef(`
The rates are means over a day; changes and replacements come in bursts. Bundles are split per failure domain
here. Racing proposers multiply the first row by at most the members of a failure domain (%s). After an outage of the
log each instance appends one burn record for all the minutes that it kept, so the backlog is one append per
instance. The minute records of all instances arrive in the first seconds of a minute unless instances spread
them; %s appends in one second would exceed half the log's rate, so each instance appends at its own offset in
the minute.`, formatNumber(scale.instancesPerDomain), formatNumber(scale.instances()))
}

const notMeasurable = `
## What cannot be measured on one machine

- Round trips between failure domains and regions, loss and reordering: loopback has none of them.
- The rate of 700,000 starts/s and the reaction of 22,000 targets; only costs per operation are measured.
- Behaviour of the real log under several hundred appends/s, its trimming and its outages.
- Lag of the real instance list, and the platform balancer's reaction to the loss of a failure domain.
- Contention on memory bandwidth and network interrupts of instances with many cores.
- Garbage collection pauses with heaps of several gigabytes of held answers and records.
- Simultaneous reconnection of all callers and peers after the loss of a region.`
