package linker

import (
	"context"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stateLists are the fields of a state update that describe its sender instead of listing what it did and observed, and companions those
// that belong to another list.
var (
	stateLists = map[string]bool{"Waiting": true}
	companions = map[string]bool{"EndOrigins": true, "ReportedIncarnations": true}
)

// fill sets the texts and numbers of an element to values that receivers accept.
func fill(element reflect.Value) {
	switch element.Kind() {
	case reflect.String:
		element.SetString("a")
	case reflect.Int64:
		element.SetInt(1)
	case reflect.Struct:
		for i := range element.NumField() {
			if element.Field(i).CanSet() {
				fill(element.Field(i))
			}
		}
	}
}

// updateWith returns a state update of a broadcast with count elements in each list that selected names, or in all lists if it names none.
func updateWith(count int, selected string) StateUpdate {
	update := StateUpdate{Waiting: []int64{1, 2, 3}, Leaving: true, Busy: true, SentUS: 5, EvacuationVersion: 6}
	value := reflect.ValueOf(&update).Elem()
	for i := range value.NumField() {
		name := value.Type().Field(i).Name
		if value.Field(i).Kind() != reflect.Slice || stateLists[name] || selected != "" && name != selected {
			continue
		}
		list := reflect.MakeSlice(value.Field(i).Type(), count, count)
		for element := range count {
			fill(list.Index(element))
		}
		value.Field(i).Set(list)
	}
	return update
}

// countElements adds the elements of an update's lists to counts, by field.
func countElements(update *StateUpdate, counts map[string]int) {
	value := reflect.ValueOf(update).Elem()
	for i := range value.NumField() {
		if value.Field(i).Kind() == reflect.Slice {
			counts[value.Type().Field(i).Name] += value.Field(i).Len()
		}
	}
}

// An instance that connected was sent all cancelled jobs of the last minute in one state update. It could not decode a list of over 4,096
// elements and ended the link, and the next one in the same way. No list of a state update may be too long to be received.
func TestListsOfAnyLengthAreReceived(t *testing.T) {
	const count = 2*MaxElements + 1
	lists := []string{""}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[StateUpdate]()) {
		if field.Type.Kind() == reflect.Slice && !stateLists[field.Name] && !companions[field.Name] {
			lists = append(lists, field.Name)
		}
	}
	for _, list := range lists {
		t.Run("list "+list, func(t *testing.T) {
			is := is.New(t)
			from, to := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
			join(t, from, to)
			update := updateWith(count, list)
			is.NoErr(from.Send("b-1", update))
			is.Equal(from.Broadcast([]string{"b-1"}, update), 1)
			want, got := make(map[string]int), make(map[string]int)
			for range 2 {
				countElements(&update, want)
			}
			for broadcasts := 0; broadcasts < 2; {
				select {
				case message := <-to.messages:
					received := message.(StateUpdate)
					countElements(&received, got)
					is.Equal(received.SentUS, update.SentUS)
					if len(received.Waiting) > 0 {
						is.True(received.Leaving && received.Busy && received.EvacuationVersion == update.EvacuationVersion)
						broadcasts++
					}
				case <-time.After(20 * time.Second):
					t.Fatalf("received %v, want %v", got, want)
				}
			}
			is.Equal(got, want)
			is.Equal(from.ended.Load()+to.ended.Load(), int64(0))
		})
	}
}

// What belongs to an element of a divided list must stay with it, and the lists must stay in order.
func TestDividedListsKeepOrderAndCompanions(t *testing.T) {
	is := is.New(t)
	const count = MaxElements + 10
	update := StateUpdate{}
	for i := range int64(count) {
		update.Ends, update.EndOrigins = append(update.Ends, RunEnd{Target: "t", Number: i}), append(update.EndOrigins, EndOrigin{Incarnation: i})
		update.FreeCapacity, update.ReportedIncarnations = append(update.FreeCapacity, FreeCapacity{Target: "t", MilliCores: i}), append(update.ReportedIncarnations, i)
	}
	divided, refused := divide(&update)
	is.Equal(refused.count, int64(0))
	ends, reports := int64(0), int64(0)
	for _, part := range divided {
		is.NoErr(checkStateUpdate(&part))
		is.Equal(len(part.Ends), len(part.EndOrigins))
		is.Equal(len(part.FreeCapacity), len(part.ReportedIncarnations))
		for i := range part.Ends {
			is.Equal(part.Ends[i].Number, ends)
			is.Equal(part.EndOrigins[i].Incarnation, ends)
			ends++
		}
		for i := range part.FreeCapacity {
			is.Equal(part.FreeCapacity[i].MilliCores, reports)
			is.Equal(part.ReportedIncarnations[i], reports)
			reports++
		}
	}
	is.Equal(ends, int64(count))
	is.Equal(reports, int64(count))
}

// Losses with many runs made a message too large to be sent at all, so that none of them was.
func TestLossesWithManyRunsAreReceived(t *testing.T) {
	is := is.New(t)
	from, to := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
	join(t, from, to)
	const losses, runs = 40, 1000
	text := strings.Repeat("x", maxTextBytes)
	update := StateUpdate{Waiting: []int64{0}, Losses: make([]Loss, losses)}
	for i := range update.Losses {
		update.Losses[i] = Loss{Target: text, Address: text, Observer: text, Runs: make([]LostRun, runs)}
		for run := range update.Losses[i].Runs {
			update.Losses[i].Runs[run] = LostRun{Task: text, Route: text}
		}
	}
	is.NoErr(from.Send("b-1", update))
	received := 0
	for last := false; !last; {
		select {
		case message := <-to.messages:
			part := message.(StateUpdate)
			for i := range part.Losses {
				is.Equal(len(part.Losses[i].Runs), runs)
			}
			received, last = received+len(part.Losses), len(part.Waiting) > 0
		case <-time.After(20 * time.Second):
			t.Fatalf("received %d losses", received)
		}
	}
	is.Equal(received, losses)
}

// A job whose steps are too many for the delegate to decode ended the link between the two instances, and with it all jobs that one ran
// for the other.
func TestRequestThatReceiversRefuseIsNotSent(t *testing.T) {
	tests := []struct {
		name    string
		request Request
	}{
		{"many steps", Delegation{Job: "j", Steps: make([]JobStep, MaxElements+1)}},
		{"long label", Delegation{Job: "j", Steps: []JobStep{{Label: strings.Repeat("l", maxTextBytes+1)}}}},
		{"many dependencies", Delegation{Job: "j", Steps: []JobStep{{}, {DependsOn: make([]int, MaxElements+1)}}}},
		{"long body", Delegation{Job: "j", Body: strings.Repeat("b", maxBodyBytes+1)}},
		{"body that is not text", Delegation{Job: "j", Body: "\xff"}},
		{"key that is not text", Lookup{Key: "\xff"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			from, to := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
			join(t, from, to)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := from.Call(ctx, "b-1", test.request)
			is.True(errors.Is(err, ErrUnsendable))
			is.NoErr(from.Send("b-1", StateUpdate{Waiting: []int64{0}}))
			select {
			case <-to.messages:
			case <-ctx.Done():
				t.Fatal("the link has ended")
			}
			is.Equal(from.ended.Load()+to.ended.Load(), int64(0))
		})
	}
}

// The loss of a target with an address of 258 bytes ended each new link, 20 times a second, and nothing else arrived. What receivers would
// refuse must be left out.
func TestElementsThatReceiversRefuseAreLeftOut(t *testing.T) {
	is := is.New(t)
	from, to := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
	join(t, from, to)
	long := strings.Repeat("0", maxTextBytes+1)
	update := StateUpdate{
		Losses:      []Loss{{Target: "s"}, {Target: "t", Address: long}, {Target: "u", Runs: []LostRun{{Route: long}}}, {Target: "v"}},
		Cancelled:   []CancelledJob{{Job: "j"}, {Job: "\xff"}},
		Evacuations: []Evacuation{{Domain: "d"}, {Version: 2}, {Domain: "d", Version: 2}},
		Abandoned:   []string{long}, Waiting: []int64{0},
	}
	want := StateUpdate{
		Losses: []Loss{{Target: "s"}, {Target: "v"}}, Cancelled: []CancelledJob{{Job: "j"}}, Evacuations: []Evacuation{{Domain: "d", Version: 2}}, Waiting: []int64{0},
	}
	is.NoErr(from.Send("b-1", update))
	is.Equal(from.Broadcast([]string{"b-1"}, update), 1)
	for range 2 {
		select {
		case message := <-to.messages:
			is.Equal(message, want)
		case <-time.After(20 * time.Second):
			t.Fatal("no message was received")
		}
	}
	is.Equal(from.ended.Load()+to.ended.Load(), int64(0))
	is.Equal(from.Traffic().Refused(), int64(12))
}

// A link that ends at once because one side sends what the other one cannot decode must not be restored at the full rate, since the next one
// ends in the same way.
func TestLinksThatEndAgainAreRestoredLessOften(t *testing.T) {
	undecodable := []byte{0xff}
	tests := []struct {
		name      string
		end       func(dialed, accepted *link) error
		endsAgain bool
	}{
		{"by the accepting side", func(dialed, _ *link) error { return dialed.enqueue(undecodable) }, true},
		{"by the dialing side", func(_, accepted *link) error { return accepted.enqueue(undecodable) }, true},
		{"in a part", func(dialed, _ *link) error { return dialed.enqueue(mustEncode(part{Last: true, Data: undecodable})) }, true},
		{"closed", func(dialed, _ *link) error { return dialed.conn.CloseNow() }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			from, to := startNode(t, "local", "a", testLimits()), startNode(t, "local", "b", testLimits())
			dialed, err := from.dial(t.Context(), to.address(), "b-1", testLimits())
			is.NoErr(err)
			from.group.Go(func() { _ = from.serve(t.Context(), dialed) })
			waitFor(t, "both sides are linked", func() bool { return from.Connected("b-1") && to.Connected("a-1") })
			accepted := to.link("a-1")
			is.NoErr(test.end(dialed, accepted))
			<-dialed.done
			<-accepted.done
			for _, ended := range []*link{dialed, accepted} {
				is.Equal(endsAgain(ended, 0), test.endsAgain)
				is.True(!endsAgain(ended, maxRedialDelay))
			}
		})
	}
}
