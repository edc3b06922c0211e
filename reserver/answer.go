package reserver

import "time"

// AnswerTimeout is how long after its decision a start waits for the reader's answer before the request is sent without one.
// Ten milliseconds are several round trips between failure domains, and less than the cost of a rejected start.
const AnswerTimeout = 10 * time.Millisecond

// Answer is the reader's answer to a reservation.
type Answer int

// Answers to a reservation.
const (
	// Unanswered means that the reader has not decided: the start request is sent as without a reservation.
	Unanswered Answer = iota
	// Granted means that the reader has recorded the claim.
	Granted
	// Denied means that the free capacity does not suffice; the reader has recorded no claim.
	Denied
)

// String returns the name used in metrics.
func (answer Answer) String() string {
	switch answer {
	case Granted:
		return "granted"
	case Denied:
		return "denied"
	case Unanswered:
	}
	return "unanswered"
}
