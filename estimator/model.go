package estimator

// Roles, each of which has its own table.
const (
	roleEntry      = "entry instance"
	roleConfig     = "configuration"
	roleMembership = "membership"
	roleBurn       = "burn accounting"
	roleCaller     = "caller library"
	rolePlatform   = "platform"
)

// tableRows returns the rows of the table at scale. Quantities of entry instances are per instance, those of the
// caller library per caller process, and those of the platform for the whole deployment.
func tableRows(scale Scale) []row {
	return append(requestRows(scale), append(controlRows(scale), platformRows(scale)...)...)
}

func requestRows(scale Scale) []row {
	jobRate, tasks := scale.jobRate(), scale.tasksPerJob
	startRate := jobRate * tasks
	tasksInFlight := startRate * scale.taskSeconds
	// A record is kept for one to two retention periods, counted as two, by its owner and by one witness.
	records := jobRate * 2 * scale.retentionSeconds * 2
	instance := limits{cpu: scale.cores * scale.usableShare, memory: scale.memoryBytes, wire: scale.networkBytes}
	return []row{
		{
			role: roleEntry, function: "requests: read, decode, digest", driver: byStarts, limits: instance,
			state:    []term{measuredTerm("encoder.DecodeJob", "tasks", "B/op", tasks, jobRate*scale.taskSeconds)},
			messages: []term{constantTerm(2 * jobRate)},
			wire:     []term{measuredTerm("encoder.DecodeJob", "tasks", "wire-B/op", tasks, jobRate)},
			cpu: []term{
				cpuTerm("encoder.DecodeJob", "tasks", tasks, jobRate),
				cpuTerm("dispatcher.Digest", "tasks", tasks, jobRate),
				httpExchangeTerm(jobRate),
			},
			mechanism:  "HTTP/1.1 and strict JSON, one goroutine per request",
			bottleneck: "JSON decoding fills the cores", nextMechanism: "CBOR bodies for callers that ask for them",
		},
		{
			role: roleEntry, function: "answers: encode, hold for resubmission", driver: byResults, limits: instance,
			state:      []term{constantTerm(min(scale.heldAnswerBytes(), defaultMaxAnswerBytes))},
			wire:       []term{measuredTerm("encoder.EncodeOutcome", "tasks", "wire-B/op", tasks, jobRate)},
			cpu:        []term{cpuTerm("encoder.EncodeOutcome", "tasks", tasks, jobRate)},
			mechanism:  "the owner keeps whole answers for one to two retention periods, within max-answer-bytes; beyond it the oldest are dropped and answered \"answer lost\"",
			bottleneck: "answers are dropped before the retention ends", nextMechanism: "a larger max-answer-bytes; a shorter retention per kind",
		},
		{
			role: roleEntry, function: "routing: pick a target per task", driver: byTargets, limits: instance,
			state: []term{measuredTerm("router.Decision", "size", "B/target", scale.targets/scale.domains, scale.targets/scale.domains)},
			cpu: []term{
				cpuTerm("router.Decision", "size", scale.targets/scale.domains, startRate),
				cpuTerm("placer.Place", "workers", scale.targets/scale.domains, startRate),
			},
			mechanism:  "runners by expected completion time, workers by room; both are counted for every start; own failure domain",
			bottleneck: "a scan of all targets per pick", nextMechanism: "power of two choices over the same estimates",
		},
		{
			role: roleEntry, function: "task starts", driver: byStarts, limits: instance,
			memory:     []term{constantTerm(tasksInFlight * connectionBytes)},
			messages:   []term{constantTerm(2 * startRate)},
			wire:       []term{measuredTerm("starter.Start", "tasks", "wire-B/op", tasks, jobRate)},
			cpu:        []term{socketCPUTerm("starter.Start", "tasks", tasks, jobRate)},
			mechanism:  "HTTP/1.1, one connection per task in flight",
			bottleneck: "net/http client work per start fills the cores", nextMechanism: "HTTP/2 to targets that offer it; more instances",
		},
		{
			role: roleEntry, function: "start records: owner and witness", driver: byStarts, limits: instance,
			state:    []term{measuredTerm("keeper.RecordMemory", "size", "B/record", records, records).withFallback(constantTerm(records * scale.recordBytes))},
			messages: []term{constantTerm(4 * jobRate)}, // record and acknowledgement, once as owner and once as witness
			wire:     []term{measuredTerm("linker.Record", "peers", "B/message", scale.instancesPerDomain, 4*jobRate).withFallback(constantTerm(4 * jobRate * scale.messageBytes))},
			// The benchmark measures owner and witness together, and per job an instance acts once as each.
			cpu:        []term{cpuTerm("keeper.Job", "size", records, jobRate)},
			mechanism:  "one record per job in the memory of two instances, one round trip",
			bottleneck: "memory for records of small jobs", nextMechanism: "drop settled records to key and digest; a shorter retention",
		},
		{
			role: roleEntry, function: "queueing and quotas", driver: byStarts, limits: instance,
			cpu:        []term{cpuTerm("limiter.Queue", "waiting", maxWaitingJobs, startRate)},
			mechanism:  "one queue per instance, ordered by deadline",
			bottleneck: "one lock per queue", nextMechanism: "a queue per kind",
		},
		{
			role: roleEntry, function: "peers: links and codec", driver: byStarts, limits: instance,
			// The benchmark measures both ends of a message; an instance is one end of each of its 4 messages per job.
			cpu:        []term{measuredTerm("linker.Record", "peers", "cpu-ns/message", scale.instancesPerDomain, 2*jobRate*1e-9)},
			mechanism:  "WebSocket frames, CBOR; full mesh inside a failure domain",
			bottleneck: "one frame and one system call per message", nextMechanism: "records of several jobs in one frame",
		},
		{
			role: roleCaller, function: "submit and decode, one process per team", driver: byStarts, limits: instance,
			messages: []term{constantTerm(2 * scale.callerJobRate())},
			wire: []term{
				measuredTerm("encoder.DecodeJob", "tasks", "wire-B/op", tasks, scale.callerJobRate()),
				measuredTerm("encoder.EncodeOutcome", "tasks", "wire-B/op", tasks, scale.callerJobRate()),
			},
			cpu: []term{
				cpuTerm("encoder.EncodeJob", "tasks", tasks, scale.callerJobRate()),
				cpuTerm("encoder.DecodeOutcome", "tasks", tasks, scale.callerJobRate()),
				httpExchangeTerm(scale.callerJobRate()),
			},
			mechanism:  "HTTP/1.1 to the balancer",
			bottleneck: "JSON encoding and decoding", nextMechanism: "more caller processes",
		},
	}
}

func controlRows(scale Scale) []row {
	peers := scale.instancesPerDomain - 1
	budget := limits{cpu: budgetCPU, memory: budgetMemory, wire: budgetWire}
	bundlesPerSecond := scale.bundleRate()
	viewsPerSecond := scale.viewRate()
	targetsPerDomain := scale.targets / scale.domains
	records := scale.jobRate() * 4 * scale.retentionSeconds      // as in requestRows
	unsummedRecords := scale.burnRecordRate() * maxSumLagSeconds // at most, burn records since the last hourly sum
	return []row{
		{
			role: roleConfig, function: "bundles as one record: read, verify, parse", driver: byTargets, limits: budget,
			state: []term{measuredTerm("bundler.Parse", "targets", "held-B", scale.targets, 2), measuredTerm("bundler.Parse", "targets", "record-B", scale.targets, 1)},
			memory: []term{
				measuredTerm("bundler.Parse", "targets", "B/op", scale.targets, 1),
				measuredTerm("appender.Read", "bytes", "B/op", scale.targets*bundleBytesPerTarget, 1),
			},
			messages: []term{constantTerm(2 * bundlesPerSecond)},
			wire:     []term{measuredTerm("bundler.Parse", "targets", "record-B", scale.targets, bundlesPerSecond*base64Growth)},
			cpu: []term{
				cpuTerm("bundler.Fold", "targets", scale.targets, bundlesPerSecond).withFallback(cpuTerm("bundler.Parse", "targets", scale.targets, bundlesPerSecond)),
				socketCPUTerm("appender.Read", "bytes", scale.targets*bundleBytesPerTarget, bundlesPerSecond),
			},
			mechanism:  "each change publishes the whole bundle; each instance reads and parses all of it",
			bottleneck: "every instance reads the whole configuration for each change", nextMechanism: "one record per failure domain (next row)",
		},
		{
			// Upper bound: all changes affect the part of the instance's own failure domain.
			role: roleConfig, function: "bundles split per failure domain: read, verify, parse", control: true, driver: byTargets, limits: budget,
			state: []term{measuredTerm("bundler.Parse", "targets", "held-B", targetsPerDomain, 2), scale.partRecord(1)},
			memory: []term{
				measuredTerm("bundler.Parse", "targets", "B/op", targetsPerDomain, 1),
				measuredTerm("appender.Read", "bytes", "B/op", targetsPerDomain*bundleBytesPerTarget, 1),
			},
			messages: []term{constantTerm(2 * bundlesPerSecond)},
			wire:     []term{scale.partRecord(bundlesPerSecond * base64Growth)},
			cpu: []term{
				cpuTerm("bundler.Parts/part", "targets", scale.targets, bundlesPerSecond).withFallback(cpuTerm("bundler.Parse", "targets", targetsPerDomain, bundlesPerSecond)),
				socketCPUTerm("appender.Read", "bytes", targetsPerDomain*bundleBytesPerTarget, bundlesPerSecond),
			},
			mechanism:     "each change publishes the targets of one failure domain, or the common part",
			bottleneck:    "every instance reads all targets of its failure domain for each change",
			nextMechanism: "a record per change that holds only the changed sections and the digest of the whole",
		},
		{
			role: roleMembership, function: "heartbeats and suspicion", control: true, driver: byInstances, limits: budget,
			state:    []term{constantTerm(64 * scale.instancesPerDomain * scale.viewBytes)},
			messages: []term{constantTerm(2 * peers)},
			wire:     []term{measuredTerm("linker.Heartbeat", "peers", "B/message", scale.instancesPerDomain, 2*peers).withFallback(constantTerm(2 * peers * scale.heartbeatBytes))},
			cpu: []term{
				cpuTerm("watcher.Second/suspects=0", "peers", scale.instancesPerDomain, 1),
				measuredTerm("linker.Heartbeat", "peers", "cpu-ns/message", scale.instancesPerDomain, peers*1e-9),
			},
			mechanism:  "full mesh inside the failure domain, one heartbeat a second to each member",
			bottleneck: "heartbeats grow with the members of a failure domain", nextMechanism: "heartbeats to a few rendezvous neighbours; larger instances",
		},
		{
			role: roleMembership, function: "views: read, adopt, sync", control: true, driver: byStarts, limits: budget,
			messages: []term{constantTerm(viewsPerSecond * (1 + 2*peers))},
			// Only views that move slices need a sync; the benchmark syncs all slices of one instance.
			wire: []term{
				constantTerm(viewsPerSecond * scale.instancesPerDomain * scale.viewBytes * base64Growth),
				measuredTerm("keeper.Sync", "size", "B/sync", records, scale.sliceMoveRate()),
			},
			cpu: []term{
				cpuTerm("keeper.Adopt", "size", scale.instancesPerDomain, viewsPerSecond),
				cpuTerm("keeper.Sync", "size", records, scale.sliceMoveRate()),
			},
			mechanism:     "stream views-<domain>; moved slices are synced from every member",
			bottleneck:    "each instance that comes or goes moves its slices, and every record of them is sent",
			nextMechanism: "send only records that the new owner lacks, by slice digest",
		},
		{
			role: roleMembership, function: "instance list polls", control: true, driver: byInstances, limits: budget,
			state:      []term{constantTerm(scale.instancesPerDomain * scale.listEntryBytes)},
			messages:   []term{constantTerm(2 / scale.pollSeconds)},
			wire:       []term{constantTerm(scale.instancesPerDomain * scale.listEntryBytes / scale.pollSeconds)},
			cpu:        []term{httpExchangeTerm(1 / scale.pollSeconds)},
			mechanism:  "the instances of the own failure domain at each poll",
			bottleneck: "the whole answer is read for a few changed entries", nextMechanism: "conditional requests (ETag)",
		},
		{
			role: roleBurn, function: "count answers, append minute records", control: true, driver: bySeries, limits: budget,
			state: []term{
				measuredTerm("reporter.Batch", "series", "held-B", scale.seriesPerInstance, 1),
				constantTerm(scale.jobRate() * 2 * scale.retentionSeconds * claimBytes),
			},
			messages: []term{constantTerm(2.0 / 60)},
			wire:     []term{measuredTerm("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, 1.0/60)},
			cpu: []term{
				cpuTerm("reporter.Record", "series", scale.seriesPerInstance, scale.jobRate()),
				cpuTerm("reporter.Batch", "series", scale.seriesPerInstance, 1.0/60),
				socketCPUTerm("appender.Append", "bytes", scale.seriesPerInstance*scale.burnSeriesBytes, 1.0/60),
			},
			mechanism:  "bucketed counters per series; one record a minute and instance to stream burn",
			bottleneck: "size of the minute records", nextMechanism: "fewer series per instance: callers of one team on few instances",
		},
		{
			// Averages over all hours. At its append time (reporter.SumAppendTime) an instance reads the records of a
			// whole hour, within sumTimeout of package accountant.
			role: roleBurn, function: "hourly sums: read them, append them at the own turn", control: true, driver: bySeries, limits: budget,
			memory:   []term{measuredTerm("reporter.Summer", "series", "held-B", scale.seriesPerInstance, 1)},
			messages: []term{constantTerm(2.0 / secondsPerHour)},
			cpu: []term{
				cpuTerm("reporter.Sum", "series", scale.seriesPerInstance, 1.0/secondsPerHour),
				cpuTerm("reporter.Summer", "series", scale.seriesPerInstance, scale.burnRecordRate()/scale.instances()),
			},
			wire: []term{
				measuredTerm("reporter.Sum", "series", "wire-B/op", scale.seriesPerInstance, base64Growth/secondsPerHour),
				measuredTerm("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, base64Growth*scale.burnRecordRate()/scale.instances()),
			},
			mechanism:  "rendezvous hashing selects the instance that sums the records of an hour",
			bottleneck: "size of the sum and of the minute records", nextMechanism: "sums per failure domain",
		},
		{
			// Only the instance that is asked reads the stream, so this does not count as control work of every node.
			role: roleBurn, function: "GET /v1/burn asked every minute, at the instance that is asked", driver: bySeries, limits: budget,
			memory:   []term{measuredTerm("reporter.Add", "series", "held-B", scale.seriesPerInstance, 1)},
			messages: []term{constantTerm(2.0 / 60)},
			cpu: []term{
				socketCPUTerm("accountant.Follow", "series", scale.seriesPerInstance, scale.burnRecordRate()/benchInstances),
				socketCPUTerm("accountant.Read/report", "series", scale.seriesPerInstance, 1.0/60),
			},
			wire:       []term{measuredTerm("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, base64Growth*scale.burnRecordRate())},
			mechanism:  "the reader follows the stream; a report reads only what is new",
			bottleneck: "the records of all instances reach one reader", nextMechanism: "ask less often, or only the command on an operator's machine",
		},
		{
			role: roleBurn, function: "a report of three days, read from the log in a minute", driver: bySeries, limits: limits{wire: scale.networkBytes, cpu: 1},
			memory:   []term{measuredTerm("reporter.Add", "series", "held-B", scale.seriesPerInstance, 1)},
			messages: []term{constantTerm(unsummedRecords / maxPageRecords / 60), constantTerm(hourlySumsRead / 60)},
			cpu: []term{
				// The benchmark reads three days of sums and the minute records of benchInstances instances. The second
				// term adds the minute records of all instances since the last sum.
				socketCPUTerm("accountant.Read/sums", "series", scale.seriesPerInstance, 1.0/60),
				socketCPUTerm("accountant.Follow", "series", scale.seriesPerInstance, unsummedRecords/benchInstances/60),
			},
			wire: []term{
				measuredTerm("reporter.Sum", "series", "wire-B/op", scale.seriesPerInstance, base64Growth*hourlySumsRead/60),
				measuredTerm("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, base64Growth*unsummedRecords/60),
			},
			mechanism:  "a fresh reader reads hourly sums, and the minute records after the last one",
			bottleneck: "decoding the minute records since the last sum", nextMechanism: "sums of shorter periods",
		},
	}
}

func platformRows(scale Scale) []row {
	bundlesPerSecond, instances := scale.bundleRate(), scale.instances()
	log := limits{messages: scale.maxLogAppendRate, wire: scale.networkBytes}
	views := scale.viewRate() * scale.domains
	viewBytes := scale.instancesPerDomain * scale.viewBytes
	return []row{
		{
			role: rolePlatform, function: "log: appends", driver: byInstances, limits: log,
			messages: []term{constantTerm(views), constantTerm(bundlesPerSecond), constantTerm(scale.burnRecordRate()), constantTerm(1.0 / secondsPerHour)},
			wire: []term{
				constantTerm(views * viewBytes),
				scale.partRecord(bundlesPerSecond),
				measuredTerm("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, scale.burnRecordRate()),
				measuredTerm("reporter.Sum", "series", "wire-B/op", scale.seriesPerInstance, 1.0/secondsPerHour),
			},
			mechanism: "one HTTP append per record", bottleneck: "appends per second, spent on burn records",
			nextMechanism: "one burn record a minute per failure domain, collected over the links",
		},
		{
			role: rolePlatform, function: "log: reads by instances", driver: byTargets, limits: limits{wire: scale.networkBytes},
			// Three long polls of five seconds per instance (views, common part, own part), and one response per new
			// record.
			messages: []term{constantTerm(instances * (3.0/5 + bundlesPerSecond/scale.domains + scale.viewRate()))},
			wire: []term{
				scale.partRecord(bundlesPerSecond * scale.instancesPerDomain * base64Growth),
				constantTerm(views * viewBytes * scale.instancesPerDomain * base64Growth),
				measuredTerm("reporter.Sum", "series", "wire-B/op", scale.seriesPerInstance, instances*base64Growth/secondsPerHour),
			},
			mechanism: "every instance reads the part of its failure domain from the log", bottleneck: "the log's bandwidth",
			nextMechanism: "bundles from a peer of the failure domain after one member has read them",
		},
		{
			role: rolePlatform, function: "instance list: polls", driver: byInstances, limits: limits{wire: scale.networkBytes},
			messages:  []term{constantTerm(instances / scale.pollSeconds)},
			wire:      []term{constantTerm(instances * scale.instancesPerDomain * scale.listEntryBytes / scale.pollSeconds)},
			mechanism: "the instances of one failure domain to each of them", bottleneck: "the list's bandwidth",
			nextMechanism: "one poll per failure domain, handed on in heartbeats",
		},
	}
}

const (
	// defaultMaxAnswerBytes is the default of the setting max-answer-bytes.
	defaultMaxAnswerBytes = 256 << 20
	// maxWaitingJobs is the default limit on the limiter's queue.
	maxWaitingJobs = 4096
)

// bundleBytesPerTarget is the size of one target in a bundle record, as the benchmark bundler.Parse reports it.
const bundleBytesPerTarget = 107

// connectionBytes is the memory of one active connection: two buffers of 4 KiB and the stacks of two goroutines.
const connectionBytes = 20_000

// partRecord returns the term for the size of the record with the targets of one failure domain, times a multiplier.
func (scale Scale) partRecord(multiplier float64) term {
	fallback := measuredTerm("bundler.Parse", "targets", "record-B", scale.targets/scale.domains, multiplier)
	return measuredTerm("bundler.Parts/part", "targets", "record-B", scale.targets, multiplier).withFallback(fallback)
}

// claimBytes is the memory of one entry of a map from fingerprint to claim, at the usual load factor.
const claimBytes = 60

// maxPageRecords is the largest number of records in one page of the log.
const maxPageRecords = 1000

const (
	// benchInstances is the number of instances that the benchmarks of package accountant simulate.
	benchInstances = 4
	// maxSumLagSeconds is the longest time from the last record of one hourly sum to the next sum: an hour, and the
	// time until an instance appends it (reporter.SumAppendTime).
	maxSumLagSeconds = 1.5 * secondsPerHour
	// hourlySumsRead is the number of hourly sums in three days.
	hourlySumsRead = 72.0
)

// httpExchangeTerm returns the share of a core that one side of HTTP requests and responses takes, without encoding the
// bodies. The benchmark of a task start over loopback includes both sides, so this is an upper bound.
func httpExchangeTerm(rate float64) term { return socketCPUTerm("starter.Start", "tasks", 1, rate) }

// callerJobRate returns the jobs per second of one caller process, of which there is one per team.
func (scale Scale) callerJobRate() float64 { return scale.startRate / scale.tasksPerJob / scale.teams }
