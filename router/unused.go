package router

// Unused means that no task was sent for the choice, so that the router's statistics stay as they are.
type Unused struct{}

func (Unused) isResult() {}
