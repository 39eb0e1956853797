package hornbeamcroft

// Memory is the account of the memory that the bodies of one request hold in a process: the request's body and the body of
// its answer. It is safe for concurrent use.
type Memory interface {
	// Reserve adds bytes to the account. It returns false and adds nothing if the process has no memory left for them.
	Reserve(bytes int) bool
}
