package executor

import (
	"time"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/reserver"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// reservedRun identifies a run for which a reservation was asked.
type reservedRun struct {
	target string
	run    scheduler.Run
}

// reservation is a reservation that a start waits for.
type reservation struct {
	reader string
	// answer receives the reader's answer; it never blocks the sender.
	answer chan reserver.Answer
}

// announceStart sends the claim of a start to the reader of its target, and asks for an answer if the start wants one and the
// reader gives answers. The caller holds the lock.
func (executor *Executor) announceStart(start *scheduler.StartTask) {
	reader := executor.reader(start.Target)
	switch {
	case reader == executor.self.Incarnation:
	case start.Reserve && executor.peers.Reserve(reader, start.Claim):
		executor.reservations[reservedRun{start.Target, start.Run}] = &reservation{reader, make(chan reserver.Answer, 1)}
	default:
		executor.peers.Claim(reader, start.Claim)
	}
}

// awaitReservation waits until the reservation of a start is answered, if one was asked for, or until its answer is no longer
// awaited. It returns the reader that has denied it, or an empty string if the start request may be sent.
func (executor *Executor) awaitReservation(start *scheduler.StartTask) (deniedBy string) {
	if !start.Reserve {
		return ""
	}
	key := reservedRun{start.Target, start.Run}
	executor.mu.Lock()
	awaited, ok := executor.reservations[key]
	executor.mu.Unlock()
	if !ok {
		return ""
	}
	answer := executor.awaitAnswer(awaited, start.Issued.Add(reserver.AnswerTimeout))
	executor.mu.Lock()
	defer executor.mu.Unlock()
	// When the job is submitted again, the map may hold a reservation of a run with the same number.
	if executor.reservations[key] == awaited {
		delete(executor.reservations, key)
	}
	if len(awaited.answer) > 0 {
		answer = <-awaited.answer
	}
	executor.meter.countReservation(answer)
	if answer == reserver.Denied {
		return awaited.reader
	}
	now := executor.now()
	if reader := executor.reader(start.Target); answer == reserver.Unanswered && reader != executor.self.Incarnation {
		// The reader may have denied the reservation too late, or another instance may read the target by now.
		claim := start.Claim
		claim.Age = now.Sub(start.Issued)
		executor.peers.Claim(reader, claim)
	}
	// Other requests may have been sent meanwhile.
	start.TransmittedAt = now.Add(executor.uplink.Backlog(now))
	return ""
}

// awaitAnswer waits for the answer to a reservation until a deadline.
func (executor *Executor) awaitAnswer(awaited *reservation, deadline time.Time) reserver.Answer {
	timer := time.NewTimer(deadline.Sub(executor.now()))
	defer timer.Stop()
	select {
	case answer := <-awaited.answer:
		return answer
	case <-timer.C:
	case <-executor.ctx.Done():
	}
	return reserver.Unanswered
}

// handleReservations decides on the reservations of an update that was delayed, and processes the answers to those of this
// instance; the caller holds the lock.
func (executor *Executor) handleReservations(from string, update *linker.StateUpdate, delay time.Duration, now time.Time) {
	for _, encoded := range update.Reservations {
		claim := decodeClaim(encoded, delay)
		answer, end, ended := executor.scheduler.HandlePeerReservation(from, claim, now)
		if answer != reserver.Unanswered {
			executor.peers.AnswerReservation(from, claim.Target, claim.Run, answer == reserver.Granted)
		}
		if ended {
			executor.peers.SendRunEnd(from, claim.Target, end)
		} else if answer != reserver.Denied {
			executor.wake(claim.Target)
		}
	}
	for _, answer := range update.ReservationAnswers {
		key := reservedRun{answer.Target, scheduler.Run{Task: answer.Task, Attempt: answer.Attempt}}
		awaited, ok := executor.reservations[key]
		if !ok || awaited.reader != from {
			continue // too late
		}
		delete(executor.reservations, key)
		if answer.Granted {
			awaited.answer <- reserver.Granted
		} else {
			awaited.answer <- reserver.Denied
		}
	}
}
