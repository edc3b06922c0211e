package watcher

import "time"

// Incarnation names one run of an instance, unique over all instances.
type Incarnation string

// Member is one incarnation of an instance of the failure domain.
type Member struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	Address     string      `json:"address"`
}

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	Member
	// Leaving is set if the platform has begun to stop the instance.
	Leaving bool
}

// Heartbeat is what a peer sends every HeartbeatInterval.
type Heartbeat struct {
	From Member `json:"from"`
	// View is the number of the sender's view.
	View int64 `json:"view"`
	// Suspects are the incarnations that the sender cannot hear.
	Suspects []Incarnation `json:"suspects,omitempty"`
	// Leaving is set if the sender has begun a planned stop.
	Leaving bool `json:"leaving,omitempty"`
}

// View is the membership that the log has put in force.
type View struct {
	// Number is the log offset of the view's record, or NoView.
	Number  int64
	Members []Member
	// Departing are incarnations of the view before that leave by plan.
	Departing []Incarnation
}

// NoView is the number before the first view.
const NoView = -1

// Proposal is the next view that an instance wants; the log decides whether it comes into force.
type Proposal struct {
	// Previous is the number of the view that the proposal replaces.
	Previous int64
	// Keep are the members that stay.
	Keep []Member
	// Add are the members that join.
	Add []Member
	// Depart are the members that leave by plan and still answer sync requests.
	Depart []Member
	// Exclude are the members that are suspected.
	Exclude []Member
}

// Intervals of the protocol between instances.
const (
	// HeartbeatInterval is the time between two heartbeats of one sender.
	HeartbeatInterval = time.Second
	// SuspicionTimeout is the silence after which a peer is suspected: two heartbeats may be lost.
	SuspicionTimeout = 3 * HeartbeatInterval
	// aloneSuspicionPeriods is how much longer an instance waits that hears nobody: more often than not it is the one
	// that is cut off.
	aloneSuspicionPeriods = 3
	// settleTime lets further joining and leaving instances come into the same view: each view makes its new owners
	// sync.
	settleTime = 2 * time.Second
	// turnTime spaces the proposers, so that the first one's view is read before the next one proposes. An append and
	// its reading take a few hundred ms on a slow log.
	turnTime = 500 * time.Millisecond
	// retryTime is the time after which a proposal that no view answered is made again.
	retryTime = 2 * time.Second
	// excludedMemory is how long an excluded incarnation that fell silent is remembered; it exceeds the list's lag of
	// tens of seconds, after which the list could offer it as a candidate again.
	excludedMemory = 10 * time.Minute
	// maxPeers bounds the incarnations that are remembered, above the members and the instance list of a failure domain.
	maxPeers = 4096
)
