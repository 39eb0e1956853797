package editor

import "hornbeamcroft"

// Outcome is what an operator learns from an edit.
type Outcome uint8

// The outcomes. Every Result has exactly one.
const (
	// Accepted means that the edit is in the store, now or before.
	Accepted Outcome = iota
	// Refused means that nothing was and will be written.
	Refused
	// Unknown means that the write may have taken effect; repeating it with the same writer id is safe.
	Unknown
)

// String returns the name used by hornbeamctl.
func (o Outcome) String() string {
	return [...]string{"accepted", "refused", "unknown"}[o]
}

// Outcome returns the outcome of the result's code.
func (r Result) Outcome() Outcome {
	switch r.Code {
	case hornbeamcroft.CodeAccepted, hornbeamcroft.CodeUnchanged:
		return Accepted
	case hornbeamcroft.CodeWriteUnknown:
		return Unknown
	}
	return Refused
}
