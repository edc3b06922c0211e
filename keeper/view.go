package keeper

// NoView is the Prev of the first view of a log and the view number of a keeper without a view.
const NoView int64 = -1

// Member is one incarnation of an instance: one run of its process.
type Member struct {
	Name        string `json:"name" cbor:"name"`
	Incarnation string `json:"incarnation" cbor:"incarnation"`
	Address     string `json:"address" cbor:"address"`
}

// View is a record of the log stream of views, which holds the membership of the failure domain. Its number is its log
// offset.
type View struct {
	// Prev is the number of the view that this one follows, NoView for the first.
	Prev    int64    `json:"prev" cbor:"prev"`
	Members []Member `json:"members" cbor:"members"`
	// Departing holds the members of the previous view that leave in a planned stop; Members does not contain them.
	Departing []Member `json:"departing,omitempty" cbor:"departing,omitempty"`
	// ExpiryFloor is the number of the renewal before the latest one. Issued keys of lower epochs have expired.
	ExpiryFloor int64 `json:"expiry-floor" cbor:"expiry-floor"`
	// Reset makes the view valid whatever its Prev is, and raises the floor of every slice to its number.
	Reset bool `json:"reset,omitempty" cbor:"reset,omitempty"`
}

// Member returns the member with the given incarnation, and whether there is one.
func (view View) Member(incarnation string) (Member, bool) {
	return findMember(view.Members, incarnation)
}

func findMember(members []Member, incarnation string) (Member, bool) {
	for _, member := range members {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}
