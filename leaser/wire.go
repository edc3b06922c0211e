package leaser

import (
	"encoding/json"

	"github.com/hyssoplift/hyssoplift/placer"
)

// State is the state of a lease as the worker reports it.
type State string

// States of a lease.
const (
	// Running means that the task runs and the lease is valid.
	Running State = "running"
	// Finished means that the task returned a result.
	Finished State = "finished"
	// Failed means that the task ended with an error.
	Failed State = "failed"
	// Stopped means that the worker stopped the task because it exceeded its resources.
	Stopped State = "stopped"
	// Lapsed means that the lease expired and the worker stopped the task.
	Lapsed State = "lapsed"
)

// GuardAction is the action that the worker took on a task that exceeded its resources.
type GuardAction string

// Guard actions.
const (
	// GuardNone means that no action was taken.
	GuardNone GuardAction = ""
	// GuardThrottled means that the CPU time of the task was limited.
	GuardThrottled GuardAction = "throttled"
	// GuardCheckpointed means that the task was checkpointed and resumed.
	GuardCheckpointed GuardAction = "checkpointed"
	// GuardStopped means that the task was stopped.
	GuardStopped GuardAction = "stopped"
)

// LeaseRequest is the request body of PUT /leases/{id}, which starts a task, and of POST /leases/{id}/renew.
type LeaseRequest struct {
	Kind      string           `json:"kind,omitempty"`
	Payload   json.RawMessage  `json:"payload,omitempty"`
	Resources placer.Resources `json:"size"`
	// LeaseMS is the validity of the lease in milliseconds, counted from when the worker receives the request.
	LeaseMS int64 `json:"lease-ms"`
	// WaitMS is the maximum time in milliseconds for which the worker may delay its response while the task runs.
	WaitMS int64 `json:"wait-ms"`
}

// LeaseStatus is the response body of a lease request.
type LeaseStatus struct {
	State  State            `json:"state"`
	Guard  GuardAction      `json:"guard,omitempty"`
	Peak   placer.Resources `json:"peak"`
	Result json.RawMessage  `json:"result,omitempty"`
	Detail string           `json:"detail,omitempty"`
}

// UsageReport is the response body of GET /usage. It describes the worker as it was AgeMS milliseconds ago.
type UsageReport struct {
	Used  placer.Resources `json:"used"`
	AgeMS int64            `json:"age-ms"`
}
