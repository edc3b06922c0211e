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
	// Stopped means that the worker's guard stopped the task.
	Stopped State = "stopped"
	// Lapsed means that the lease ran out and the worker stopped the task.
	Lapsed State = "lapsed"
)

// GuardAction is what the worker did to a task that exceeded its size.
type GuardAction string

// Actions of the guard.
const (
	// GuardNone means that the guard did not act.
	GuardNone GuardAction = ""
	// GuardThrottled means that the task got less processor time.
	GuardThrottled GuardAction = "throttled"
	// GuardCheckpointed means that the task was saved and resumed by the worker.
	GuardCheckpointed GuardAction = "checkpointed"
	// GuardStopped means that the task was stopped.
	GuardStopped GuardAction = "stopped"
)

// LeaseRequest is the body of PUT /leases/{id}, which starts a task, and of POST /leases/{id}/renew.
type LeaseRequest struct {
	Kind      string           `json:"kind,omitempty"`
	Payload   json.RawMessage  `json:"payload,omitempty"`
	Resources placer.Resources `json:"size"`
	// LeaseMS is how long the lease is valid from its receipt, in milliseconds.
	LeaseMS int64 `json:"lease-ms"`
	// WaitMS is how long the worker may hold its answer until the task ends, in milliseconds.
	WaitMS int64 `json:"wait-ms"`
}

// LeaseStatus is the worker's answer.
type LeaseStatus struct {
	State  State            `json:"state"`
	Guard  GuardAction      `json:"guard,omitempty"`
	Peak   placer.Resources `json:"peak"`
	Result json.RawMessage  `json:"result,omitempty"`
	Detail string           `json:"detail,omitempty"`
}

// UsageReport is the body of GET /usage; it describes the worker as it was AgeMS milliseconds ago.
type UsageReport struct {
	Used  placer.Resources `json:"used"`
	AgeMS int64            `json:"age-ms"`
}
