package keeper

import "github.com/hyssoplift/hyssoplift/dispatcher"

// heldAnswers bounds the bytes of the complete answers that one shard keeps for resubmissions. The oldest goes first,
// because resubmissions come soon; its record stays, so the job never starts again and is answered "answer lost".
type heldAnswers struct {
	limit int64
	bytes int64
	// order holds the records in the order of their ends; the first ones may have lost their answers already.
	order []*record
}

// hold notes that ended has its answer and drops the oldest answers beyond the limit.
func (heldAnswers *heldAnswers) hold(ended *record) {
	size := answerBytes(ended.outcome)
	if size == 0 {
		return
	}
	heldAnswers.bytes += size
	heldAnswers.order = append(heldAnswers.order, ended)
	for heldAnswers.bytes > heldAnswers.limit {
		heldAnswers.release(heldAnswers.order[0])
		heldAnswers.trim()
	}
	heldAnswers.trim()
}

// release drops the answer of a record, if it is a complete one.
func (heldAnswers *heldAnswers) release(dropped *record) {
	size := answerBytes(dropped.outcome)
	if size == 0 {
		return
	}
	heldAnswers.bytes -= size
	dropped.outcome = nil
}

// trim forgets the first records that have no answer any more.
func (heldAnswers *heldAnswers) trim() {
	first := 0
	for first < len(heldAnswers.order) && heldAnswers.order[first].outcome == nil {
		first++
	}
	// Without the nil assignment the array would keep the records alive.
	clear(heldAnswers.order[:first])
	heldAnswers.order = heldAnswers.order[first:]
}

// resultOverheadBytes is the memory of one result beside its text.
const resultOverheadBytes = 40

// answerBytes returns the bytes of a complete answer; other outcomes carry no results and count 0.
func answerBytes(outcome dispatcher.Outcome) int64 {
	complete, ok := outcome.(dispatcher.Complete)
	if !ok {
		return 0
	}
	var bytes int64
	for _, result := range complete.Results() {
		bytes += int64(len(result.Name)+len(result.Result)) + resultOverheadBytes
	}
	return bytes
}
