package quarantiner

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxReported keeps a message below 64 KiB; a crash with more running calls takes several.
	maxReported  = 256
	maxKeyLength = 128
	maxCrashes   = 2
	maxRemaining = 24 * time.Hour
)

// Message is one of Report, Cleared and Turn.
type Message interface {
	Check() error
}

// Outgoing is a message for another node of the service.
type Outgoing struct {
	To      string
	Message Message
}

// Suspect is a request that ran in an upstream when it crashed. It is matched by key or by fingerprint.
type Suspect struct {
	Key         string `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	// Crashes identifies the crashes, one or two; the union of two reports is their merge.
	Crashes []uint64 `cbor:"3,keyasint"`
	// Remaining is the time until the suspicion or the refusal ends.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// Check reports whether the suspect is well formed.
func (s Suspect) Check() error {
	if len(s.Key) > maxKeyLength || (s.Key == "" && s.Fingerprint == 0) {
		return errors.Errorf("suspect: need a fingerprint or a key of 1 to %d bytes", maxKeyLength)
	}
	if len(s.Crashes) < 1 || len(s.Crashes) > maxCrashes {
		return errors.Errorf("suspect: %d crashes: allowed are 1 to %d", len(s.Crashes), maxCrashes)
	}
	if s.Remaining <= 0 || s.Remaining > maxRemaining {
		return errors.Errorf("suspect: remaining time %s: allowed is more than 0 and at most %s", s.Remaining, maxRemaining)
	}
	return nil
}

// Report tells which requests ran in an upstream that crashed.
type Report struct {
	Suspects []Suspect `cbor:"1,keyasint"`
}

// Check reports whether the message is well formed.
func (r Report) Check() error {
	if len(r.Suspects) > maxReported {
		return errors.Errorf("report: %d suspects: allowed are at most %d", len(r.Suspects), maxReported)
	}
	for _, s := range r.Suspects {
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Cleared tells that a suspect ran alone without a crash.
type Cleared struct {
	Key         string `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (c Cleared) Check() error {
	if len(c.Key) > maxKeyLength || (c.Key == "" && c.Fingerprint == 0) {
		return errors.Errorf("cleared: need a fingerprint or a key of 1 to %d bytes", maxKeyLength)
	}
	return nil
}

// TurnStep is the stage of an isolated run.
type TurnStep uint8

// The steps. TurnAsk and TurnRunning are repeated, so that a new coordinator learns of them.
const (
	// TurnAsk asks the coordinator for the turn.
	TurnAsk TurnStep = iota
	// TurnGrant gives it.
	TurnGrant
	// TurnRunning tells that the sender has the turn.
	TurnRunning
	// TurnDone returns it.
	TurnDone
)

// Turn passes the right to run one suspect alone. A service has one turn.
type Turn struct {
	Step TurnStep `cbor:"1,keyasint"`
}

// Check reports whether the message is well formed.
func (t Turn) Check() error {
	if t.Step > TurnDone {
		return errors.Errorf("turn: step %d: allowed are 0 to %d", t.Step, TurnDone)
	}
	return nil
}
