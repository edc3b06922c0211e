package gossiper

import (
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// Reserve sends a claim without delay to the reader of its target and asks for an answer. It returns false and sends nothing if
// the reader would not answer, because it has an earlier revision or is lost.
func (gossiper *Gossiper) Reserve(reader string, claim scheduler.Claim) bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	peer, ok := gossiper.peers[reader]
	if !ok || peer.lost || peer.hello.Revision < linker.RevisionReservations {
		return false
	}
	update := gossiper.updateFor(reader, true)
	update.Reservations = append(update.Reservations, encodeClaim(claim))
	return true
}

// AnswerReservation sends an instance without delay whether its reservation is granted.
func (gossiper *Gossiper) AnswerReservation(to, target string, run scheduler.Run, granted bool) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(to, true)
	update.ReservationAnswers = append(update.ReservationAnswers, linker.ReservationAnswer{
		Target: target, Task: run.Task, Attempt: run.Attempt, Granted: granted,
	})
}
