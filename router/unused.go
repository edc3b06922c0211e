package router

// Unused means that the choice was not used, so that nothing is learned about the target.
type Unused struct{}

func (Unused) isResult() {}
