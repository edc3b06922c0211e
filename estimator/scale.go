package estimator

// Scale is the size of a deployment. The first group of fields is given by section 1 of docs/design.md, the second
// group is assumed. The capacity page prints the most important assumptions.
type Scale struct {
	targets            float64
	startRate          float64 // task starts per second at the peak
	teams              float64
	regions            float64
	domains            float64
	bundlesPerDay      float64
	failuresPerDay     float64 // failed instances
	replacementsPerDay float64 // replaced instances
	maxLogAppendRate   float64 // appends per second that the log sustains
	retentionSeconds   float64

	tasksPerJob        float64
	taskSeconds        float64
	resultBytes        float64
	kinds              float64
	seriesPerInstance  float64
	instancesPerDomain float64
	cores              float64 // per instance
	usableShare        float64 // share of the cores that the peak may use
	memoryBytes        float64 // per instance
	networkBytes       float64 // per second, per instance
	recordBytes        float64 // one start record in memory
	messageBytes       float64 // one message between instances
	heartbeatBytes     float64
	pollSeconds        float64 // between two polls of the instance list
	listEntryBytes     float64
	viewBytes          float64 // per member
	burnSeriesBytes    float64 // one series in one burn record
}

// Budget for control work per node (docs/design.md, section 1): share of a core, bytes, bytes per second.
const (
	budgetCPU    = 0.013
	budgetMemory = 64e6
	budgetWire   = 28e3
)

const (
	secondsPerDay  = 86_400
	secondsPerHour = 3_600
	// base64Growth is the factor by which base64 enlarges a record in a JSON page of the log.
	base64Growth = 4.0 / 3
)

// TargetScale returns the target scale of docs/design.md.
func TargetScale() Scale {
	return Scale{
		targets: 22_000, startRate: 700_000, teams: 120, regions: 8, domains: 27, bundlesPerDay: 9_500,
		failuresPerDay: 140, replacementsPerDay: 1_500, maxLogAppendRate: 300, retentionSeconds: 600,

		tasksPerJob: 20, taskSeconds: 0.5, resultBytes: 100, kinds: 40, seriesPerInstance: 1_200,
		instancesPerDomain: 6, cores: 8, usableShare: 0.6, memoryBytes: 8e9, networkBytes: 600e6,
		recordBytes: 300, messageBytes: 150, heartbeatBytes: 200, pollSeconds: 5, listEntryBytes: 100,
		viewBytes: 100, burnSeriesBytes: 8,
	}
}

func (scale Scale) instances() float64 { return scale.domains * scale.instancesPerDomain }

// jobRate returns the jobs per second of one instance at the peak.
func (scale Scale) jobRate() float64 { return scale.startRate / scale.tasksPerJob / scale.instances() }

// bundleRate returns the bundles published per second.
func (scale Scale) bundleRate() float64 { return scale.bundlesPerDay / secondsPerDay }

// viewRate returns the view records per second of one failure domain: one renewal per retention period, and the views
// that move slices.
func (scale Scale) viewRate() float64 {
	return 1/scale.retentionSeconds + scale.sliceMoveRate()
}

// sliceMoveRate returns the views per second of one failure domain that move slices: for each replaced or failed
// instance one view without it and one with its successor.
func (scale Scale) sliceMoveRate() float64 {
	return 2 * (scale.failuresPerDay + scale.replacementsPerDay) / secondsPerDay / scale.domains
}

// heldAnswerBytes returns the memory that one instance needs to hold its answers for two retention periods, the longest
// time that it keeps them, if max-answer-bytes did not bound it.
func (scale Scale) heldAnswerBytes() float64 {
	return 2 * scale.retentionSeconds * scale.jobRate() * scale.tasksPerJob * (scale.resultBytes + resultOverheadBytes)
}

// resultOverheadBytes is the memory of one held result in addition to its text.
const resultOverheadBytes = 40

// burnRecordRate returns the burn records per second of all instances; each appends one per minute.
func (scale Scale) burnRecordRate() float64 { return scale.instances() / 60 }

// driver is the dimension of the scale that the cost of a row grows with.
type driver string

const (
	byStarts    driver = "task starts/s"
	byTargets   driver = "targets"
	byInstances driver = "instances per failure domain"
	bySeries    driver = "burn series per instance"
	byBundles   driver = "bundles/day"
	byResults   driver = "bytes per result"
)

// driverValue returns the field of scale that driver selects.
func (scale *Scale) driverValue(driver driver) *float64 {
	switch driver {
	case byTargets:
		return &scale.targets
	case byInstances:
		return &scale.instancesPerDomain
	case bySeries:
		return &scale.seriesPerInstance
	case byBundles:
		return &scale.bundlesPerDay
	case byResults:
		return &scale.resultBytes
	default:
		return &scale.startRate
	}
}
