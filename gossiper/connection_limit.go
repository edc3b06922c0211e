package gossiper

// ConnectionLimit returns how many connections this instance may hold to a target whose reader it is, or to another one; 0
// means any number.
func (gossiper *Gossiper) ConnectionLimit(isReader bool) int { return 0 }
