package keeper

import "github.com/hyssoplift/hyssoplift/dispatcher"

// answerCache bounds the bytes of the complete answers that are kept per slice for resubmissions. The oldest answer is
// evicted first, because resubmissions come soon. Its record stays, so that the job never starts again; a resubmission
// gets AnswerLost.
type answerCache struct {
	limit int64
	bytes int64
	// records holds the records in the order in which their jobs ended; the first ones may have lost their answers.
	records []*record
}

// add adds a record with its answer and evicts the oldest answers beyond the limit.
func (answerCache *answerCache) add(ended *record) {
	size := answerBytes(ended.outcome)
	if size == 0 {
		return
	}
	answerCache.bytes += size
	answerCache.records = append(answerCache.records, ended)
	for answerCache.bytes > answerCache.limit {
		answerCache.release(answerCache.records[0])
		answerCache.trim()
	}
	answerCache.trim()
}

// release drops the answer of a record, if it is a complete one.
func (answerCache *answerCache) release(dropped *record) {
	size := answerBytes(dropped.outcome)
	if size == 0 {
		return
	}
	answerCache.bytes -= size
	dropped.outcome = nil
}

// trim removes records without an answer from the front.
func (answerCache *answerCache) trim() {
	first := 0
	for first < len(answerCache.records) && answerCache.records[first].outcome == nil {
		first++
	}
	// Without clear, the underlying array would keep the records alive.
	clear(answerCache.records[:first])
	answerCache.records = answerCache.records[first:]
}

// resultOverheadBytes is the memory of one result in addition to its name and value.
const resultOverheadBytes = 40

// answerBytes returns the size of a complete answer; other outcomes carry no results and count 0.
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
