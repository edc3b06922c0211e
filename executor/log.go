package executor

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/arbiter"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

func (executor *Executor) logAnswer(answer scheduler.AnswerJob) {
	now := executor.now()
	fields := []any{"job", answer.Job, "took-ms", now.Sub(answer.Arrived).Milliseconds(), "late-ms", max(0, now.Sub(answer.Objective)).Milliseconds()}
	switch outcome := answer.Outcome.(type) {
	case dispatcher.Complete:
		executor.logger.Info("job answered", append(fields, "outcome", "complete")...)
	case dispatcher.Failed:
		executor.logger.Warn("job answered", append(fields, "outcome", "failed", "detail", outcome.Detail())...)
	case dispatcher.Unknown:
		executor.logger.Warn("job answered", append(fields, "outcome", "unknown", "detail", outcome.Detail())...)
	case dispatcher.Refused:
		if shares := answer.Load.Shares; shares.Verdict != arbiter.Usual {
			fields = append(fields, "share", fmt.Sprintf("%016x", uint64(answer.Load.Share)),
				"share-cores", shares.Demand, "share-level", shares.Level, "share-lendable", shares.Lendable)
		}
		executor.logger.Warn("job answered", append(fields, "outcome", "refused", "reason", string(outcome.Reason()), "detail", outcome.Detail(),
			"ahead", answer.Load.TasksAhead, "free", answer.Load.FreeSlots, "expected-ms", answer.Load.ExpectedWait.Milliseconds(),
			"patience-ms", answer.Load.MaxWait.Milliseconds(), "retry-ms", outcome.RetryAt().Sub(now).Milliseconds())...)
	}
}

// logStart logs the result of a start; deniedBy is the reader that denied the reservation, or empty.
func (executor *Executor) logStart(start scheduler.StartTask, result scheduler.StartResult, deniedBy string, took time.Duration) {
	if result.IsTaken() {
		fields := []any{
			"job", start.Job, "task", start.Run.Task, "attempt", start.Run.Attempt, "target", start.Target,
			"room", start.FreeCapacity.MilliCores, "room-age-ms", start.FreeCapacityAge.Milliseconds(), "room-evidence", string(start.FreeCapacityEvidence),
			"predicted-ms", start.Predicted.Milliseconds(), "took-ms", took.Milliseconds(),
		}
		if result == scheduler.StartTakenAgain {
			start.Unanswered++
		}
		if start.Unanswered > 0 {
			fields = append(fields, "unanswered", start.Unanswered)
		}
		if start.OutstandingOn != "" {
			fields = append(fields, "outstanding-on", start.OutstandingOn, "outstanding-ms", start.OutstandingFor.Milliseconds())
		}
		executor.logger.Info("task started", fields...)
		return
	}
	if result == scheduler.StartNoConnection {
		// The client logs for each target and period that no connection was free.
		return
	}
	fields := []any{
		"job", start.Job, "task", start.Run.Task, "attempt", start.Run.Attempt, "target", start.Target,
		"result", result.String(), "room", start.FreeCapacity.MilliCores, "room-age-ms", start.FreeCapacityAge.Milliseconds(), "room-evidence", string(start.FreeCapacityEvidence),
		"took-ms", took.Milliseconds(),
	}
	if deniedBy != "" {
		fields = append(fields, "reader", deniedBy)
	}
	executor.logger.Warn("task not started", fields...)
}

func (executor *Executor) logStop(stop scheduler.StopRun, err error) {
	if err != nil {
		executor.logger.Warn("stop not answered", "task", stop.Run.Task, "attempt", stop.Run.Attempt, "target", stop.RunTarget.ID,
			"reason", stop.Reason, "error", eris.ToString(err, false))
		return
	}
	fields := []any{"task", stop.Run.Task, "attempt", stop.Run.Attempt, "target", stop.RunTarget.ID, "reason", stop.Reason}
	if stop.ListedFor > 0 {
		fields = append(fields, "listed-ms", stop.ListedFor.Milliseconds(), "disowned", stop.Disowned)
	}
	executor.logger.Info("run stopped", fields...)
}

func (executor *Executor) logSuspension(suspend scheduler.SuspendRenewals) {
	if suspend.Until.IsZero() {
		executor.logger.Info("lease renewals resumed", "task", suspend.Run.Task, "attempt", suspend.Run.Attempt, "target", suspend.Target)
		return
	}
	executor.meter.suspensions.Inc()
	executor.logger.Warn("lease renewals suspended, the target does not stop a run", "task", suspend.Run.Task, "attempt", suspend.Run.Attempt,
		"target", suspend.Target, "incarnation", suspend.Incarnation, "for-ms", suspend.Until.Sub(executor.now()).Milliseconds())
}

func (executor *Executor) logEnd(target string, end scheduler.End, owner string) {
	if owner != executor.self.Incarnation {
		return
	}
	executor.logger.Info("run ended", "task", end.Run.Task, "attempt", end.Run.Attempt, "target", target, "cause", end.Cause.String(), "number", end.Seq)
}

func (executor *Executor) logLostRun(lost scheduler.RunLost) {
	fields := []any{
		"job", lost.Job, "task", lost.Run.Task, "attempt", lost.Run.Attempt, "target", lost.Target,
		"incarnation", lost.Incarnation, "reason", string(lost.Reason), "losses", lost.Restarts,
		"lease", string(lost.Lease), "renewal-age-ms", lost.RenewalAge.Milliseconds(), "list-age-ms", lost.ListAge.Milliseconds(),
	}
	if lost.Reason == scheduler.LossStopped {
		fields = append(fields, "ended-by", string(lost.End), "stop-age-ms", lost.StopAge.Milliseconds())
	}
	if lost.Outstanding > 0 {
		fields = append(fields, "outstanding-ms", lost.Outstanding.Milliseconds())
	}
	executor.logger.Info("run lost", fields...)
}

func (executor *Executor) logOverlap(overlapped scheduler.RunsOverlapped) {
	executor.logger.Warn("runs of a task overlapped", "task", overlapped.Run.Task, "attempt", overlapped.Run.Attempt, "target", overlapped.Target,
		"cause", overlapped.Cause.String(), "later-attempt", overlapped.Later.Attempt, "later-target", overlapped.LaterTarget,
		"listed-after-ms", overlapped.ListedAfter.Milliseconds())
}

func (executor *Executor) logQuery(query scheduler.QueryOwner) {
	executor.logger.Info("owner of a run is unknown or silent", "task", query.Run.Task, "attempt", query.Run.Attempt, "target", query.Target,
		"incarnation", query.Incarnation, "listed-ms", query.ListedFor.Milliseconds(), "restarted-ms", query.RestartedFor.Milliseconds(), "asked", len(query.To))
}

func (executor *Executor) logLoss(recorded scheduler.LossRecorded) {
	runs := make([]string, 0, len(recorded.Suspects))
	for _, suspect := range recorded.Suspects {
		if !suspect.Cleared {
			runs = append(runs, formatRun(suspect.Task, suspect.Attempt, suspect.Age))
		}
	}
	executor.logger.Warn("target lost with runs", "target", recorded.Target, "incarnation", recorded.Incarnation, "evidence", recorded.Evidence.String(), "runs", strings.Join(runs, ", "))
}

// logGivenUp logs each loss that counts against a task with its evidence, in the order of the losses.
func (executor *Executor) logGivenUp(givenUp scheduler.TaskGivenUp) {
	losses := make([]string, len(givenUp.Losses))
	for i := range givenUp.Losses {
		loss := &givenUp.Losses[i]
		losses[i] = fmt.Sprintf("%s incarnation %d: attempt %d %s since %d ms beside %d others, %s, seen by %s, by chance %.1e",
			loss.Target, loss.Incarnation, loss.Suspect.Attempt, loss.Suspect.Fate, loss.Suspect.Age.Milliseconds(), loss.Neighbours(), loss.Evidence, loss.Observer, loss.Chance)
	}
	executor.logger.Warn("task given up", "job", givenUp.Job, "task", givenUp.Task, "targets", givenUp.Targets, "losses", strings.Join(losses, "; "))
}

func (executor *Executor) logWithdrawnLoss(withdrawn scheduler.LossWithdrawn) {
	executor.logger.Info("lost target responds", "target", withdrawn.Target, "incarnation", withdrawn.Incarnation)
}

func (executor *Executor) logTargetRestart(restart scheduler.TargetRestarted) {
	executor.logger.Warn("target restarted", "target", restart.Target, "incarnation", restart.Incarnation, "previous", restart.Previous,
		"evidence", string(restart.Evidence), "runs", formatRuns(restart.Runs))
}

func (executor *Executor) logGuarded(guarded scheduler.TargetGuarded) {
	executor.logger.Info("restarted target refuses former orders", "target", guarded.Target, "incarnation", guarded.Incarnation,
		"after-ms", guarded.After.Milliseconds(), "since-start-ms", sinceStart(&guarded, executor.now(), time.Now()).Milliseconds(), "asked-by", string(guarded.Asker), "outstanding", guarded.Outstanding)
}

// sinceStart returns the time from the start of a target to the answer that guards it. The target's clock of day tells the start, and now
// and wall are the same moment on the executor's clock and on this host's clock of day.
func sinceStart(guarded *scheduler.TargetGuarded, now, wall time.Time) time.Duration {
	return wall.Sub(time.UnixMilli(guarded.Incarnation)) - now.Sub(guarded.At)
}

func (executor *Executor) logCold(cold scheduler.TargetCold) {
	executor.logger.Info("target is cold", "target", cold.Target, "cause", string(cold.Cause), "for-ms", cold.Until.Sub(executor.now()).Milliseconds(), "taken-over", cold.TakenOver)
}

func (executor *Executor) logFirstLook(reads, peers int, now time.Time) {
	executor.logger.Info("first look at targets", "targets", reads, "peers", peers, "since-start-ms", now.Sub(executor.startedAt).Milliseconds())
}

func (executor *Executor) logFirstLookEnd(ended scheduler.FirstLookEnded) {
	executor.logger.Info("first look at targets ended", "end", string(ended.End), "targets", ended.Targets, "not-looked-at", ended.Unlooked,
		"unreachable", ended.Unreachable, "waiting", ended.Waiting, "passes-on", executor.delegating, "since-start-ms", executor.now().Sub(executor.startedAt).Milliseconds())
}

// logFirstStart logs the first start of a task and how many targets had not been looked at by then. The caller holds the lock.
func (executor *Executor) logFirstStart(start *scheduler.StartTask) {
	if executor.hasStartedTask {
		return
	}
	executor.hasStartedTask = true
	progress := executor.scheduler.FirstLookProgress()
	executor.logger.Info("first task started", "task", start.Run.Task, "target", start.Target, "targets", progress.Targets,
		"not-looked-at", progress.Unlooked, "unreachable", progress.Unreachable, "since-start-ms", start.Issued.Sub(executor.startedAt).Milliseconds())
}

// logFirstList logs the first list of a target if it holds runs whose owners this instance does not know. The caller holds the lock.
func (executor *Executor) logFirstList(poller *poller, poll scheduler.PollResult) {
	var unknown []string
	for _, active := range poll.Running {
		if executor.scheduler.Owner(poller.id, active.Run) == "" {
			unknown = append(unknown, fmt.Sprintf("%s/%d", active.Run.Task, active.Run.Attempt))
		}
	}
	if len(unknown) > 0 {
		executor.logger.Info("target listed first", "target", poller.id, "incarnation", poll.Incarnation, "own", poller.isReader.Load(),
			"runs", strings.Join(unknown, ", "), "since-start-ms", poll.Answered.Sub(executor.startedAt).Milliseconds())
	}
}

// formatRuns lists runs with the time since their claims.
func formatRuns(runs []scheduler.OccupyingRun) string {
	formatted := make([]string, len(runs))
	for i, run := range runs {
		formatted[i] = formatRun(run.Run.Task, run.Run.Attempt, run.Age)
	}
	return strings.Join(formatted, ", ")
}

func formatRun(task string, attempt int64, age time.Duration) string {
	return fmt.Sprintf("%s/%d since %d ms", task, attempt, age.Milliseconds())
}
