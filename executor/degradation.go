package executor

import "sync"

const (
	// answerWeight is the weight of a poll in the share of polls without an answer.
	answerWeight = 1.0 / 128
	// degradedShare is the share of unanswered polls from which polls are shortened. If one in fifty is lost, longer polls would
	// delay an end of every sixth job of eight tasks.
	degradedShare = 0.02
)

// degradation measures how often a poll gets no answer although its target answered the one before. A target that stays silent or
// whose host refuses connections counts once at most: shorter polls of the others would not help, and take several times as much
// processor time and bandwidth.
type degradation struct {
	mu         sync.Mutex
	unanswered float64
}

// record records whether a poll got an answer.
func (degradation *degradation) record(answered bool) {
	degradation.mu.Lock()
	defer degradation.mu.Unlock()
	share := 1.0
	if answered {
		share = 0
	}
	degradation.unanswered += answerWeight * (share - degradation.unanswered)
}

// isDegraded reports whether polls should be short.
func (degradation *degradation) isDegraded() bool {
	degradation.mu.Lock()
	defer degradation.mu.Unlock()
	return degradation.unanswered >= degradedShare
}
