package linker

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Outcome classes on the wire.
const (
	classComplete = "complete"
	classFailed   = "failed"
	classRefused  = "refused"
	classUnknown  = "unknown"
)

// EncodeOutcome returns the wire form of outcome. A retry time is encoded relative to now.
func EncodeOutcome(outcome dispatcher.Outcome, now time.Time) Outcome {
	switch outcome := outcome.(type) {
	case dispatcher.Complete:
		results := make([]TaskResult, len(outcome.Results()))
		for i, result := range outcome.Results() {
			results[i] = TaskResult{Name: result.Name, Result: result.Result}
		}
		return Outcome{Class: classComplete, Results: results}
	case dispatcher.Failed:
		return Outcome{Class: classFailed, Detail: truncateDetail(outcome.Detail()), Fates: outcome.Fates()}
	case dispatcher.Refused:
		wire := Outcome{Class: classRefused, Reason: string(outcome.Reason()), Detail: truncateDetail(outcome.Detail()), Field: outcome.Field()}
		if !outcome.RetryAt().IsZero() {
			wire.RetryMS = max(outcome.RetryAt().Sub(now).Milliseconds(), 1)
		}
		return wire
	case dispatcher.Unknown:
		return Outcome{Class: classUnknown, Detail: truncateDetail(outcome.Detail())}
	default:
		panic(eris.Errorf("outcome type %T has no wire form", outcome))
	}
}

// DecodeOutcome returns the outcome encoded in wire. A retry time is relative to now.
func DecodeOutcome(wire Outcome, now time.Time) (dispatcher.Outcome, error) {
	switch wire.Class {
	case classComplete:
		results := make([]dispatcher.TaskResult, len(wire.Results))
		for i, result := range wire.Results {
			results[i] = dispatcher.TaskResult{Name: result.Name, Result: result.Result}
		}
		return dispatcher.NewComplete(results), nil
	case classFailed:
		return dispatcher.NewFailed(wire.Detail, wire.Fates), nil
	case classRefused:
		var retryAt time.Time
		if wire.RetryMS > 0 {
			retryAt = now.Add(time.Duration(wire.RetryMS) * time.Millisecond)
		}
		return dispatcher.NewRefused(dispatcher.Reason(wire.Reason), wire.Detail, wire.Field, retryAt), nil
	case classUnknown:
		return dispatcher.NewUnknown(wire.Detail), nil
	default:
		return nil, eris.Errorf("unknown outcome class %.40q", wire.Class)
	}
}

// truncateDetail returns text as valid UTF-8 of at most maxDetailBytes. CBOR decoders reject other texts.
func truncateDetail(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxDetailBytes)], "")
}
