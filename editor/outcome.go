package editor

import "hornbeamcroft"

// Outcome classifies the result of an edit for the operator.
type Outcome uint8

// The outcomes. Every Result has exactly one.
const (
	// Accepted means that the store holds the edit or had its content already.
	Accepted Outcome = iota
	// Refused means that the edit was not written and will not be written.
	Refused
	// Unknown means that the write may have taken effect. It is safe to repeat the edit with the same writer ID.
	Unknown
)

// String returns the outcome's name in the output of hornbeamctl.
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
