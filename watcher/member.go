package watcher

import "time"

// Incarnation identifies one run of an instance; it is unique among all instances.
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
	// Suspects are the incarnations that the sender suspects.
	Suspects []Incarnation `json:"suspects,omitempty"`
	// Leaving is set if the sender has begun a planned stop.
	Leaving bool `json:"leaving,omitempty"`
}

// View is a membership of the failure domain that was read from the log.
type View struct {
	// Number is the log offset of the view's record, or NoView.
	Number  int64
	Members []Member
	// Departing are the members of the previous view that leave in a planned stop.
	Departing []Incarnation
}

// NoView is the view number before the first view.
const NoView = -1

// Proposal is the next view that an instance proposes. It comes into force if its record is the first in the log that
// follows Previous.
type Proposal struct {
	// Previous is the number of the view that the proposal replaces.
	Previous int64
	// Keep are the members that stay.
	Keep []Member
	// Add are the members that join.
	Add []Member
	// Depart are the members that leave in a planned stop and still answer sync requests.
	Depart []Member
	// Exclude are the members left out because they are suspected.
	Exclude []Member
}

// Intervals of the protocol between instances.
const (
	// HeartbeatInterval is the time between two heartbeats of one sender.
	HeartbeatInterval = time.Second
	// SuspicionTimeout is the time without a heartbeat after which a peer is suspected; two heartbeats may be lost.
	SuspicionTimeout = 3 * HeartbeatInterval
	// isolatedTimeoutFactor multiplies SuspicionTimeout for an instance that receives nothing from other members,
	// because in most cases it is the one that is cut off.
	isolatedTimeoutFactor = 3
	// batchingDelay is how long a proposal without exclusions waits, so that further joining and leaving instances
	// enter the same view. Each view makes new owners of slices sync.
	batchingDelay = 2 * time.Second
	// proposerInterval is the delay between the turns of proposers, so that the first one's view is read before the
	// next one proposes. To append and read a record takes a few hundred ms on a slow log.
	proposerInterval = 500 * time.Millisecond
	// retryDelay is the time after which a proposal is repeated if no new view has been read.
	retryDelay = 2 * time.Second
	// excludedRetention is how long an excluded incarnation is kept after its last heartbeat. It exceeds the lag of the
	// instance list, which is tens of seconds: the list could otherwise offer the incarnation as a candidate again.
	excludedRetention = 10 * time.Minute
	// maxPeers bounds the incarnations that are kept; it exceeds the members and the instance list of a failure domain.
	maxPeers = 4096
)
