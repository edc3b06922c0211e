package supervisor

import (
	"github.com/hyssoplift/hyssoplift/evacuator"
	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/platform"
)

// applyOperatorRecords puts the evacuations and the configuration of an update in force. The evacuations come first: with its first
// configuration, an instance accepts jobs.
func (supervisor *Supervisor) applyOperatorRecords(update follower.Update) {
	supervisor.applyEvacuations(update)
	supervisor.applyConfiguration(update)
}

// applyEvacuations passes the evacuations of an update to the executor.
func (supervisor *Supervisor) applyEvacuations(update follower.Update) {
	var records []evacuator.Record
	for _, record := range update.Records {
		if decoded, ok := platform.DecodeEvacuation(record); ok {
			records = append(records, decoded)
		}
	}
	if update.Snapshot {
		supervisor.executor.ApplyEvacuationSnapshot(records, update.End)
	} else if len(records) > 0 {
		supervisor.executor.ApplyEvacuations(records)
	}
}
