package quarantiner

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxSuspectsPerReport keeps a message below 64 KiB. A crash with more running calls is reported in several
	// messages.
	maxSuspectsPerReport = 256
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 128
	// maxCrashes is the maximum number of crash ids in a suspect and the upper bound of Config.Crashes.
	maxCrashes = 2
	// maxRemaining is the upper bound of Suspect.Remaining and of Config.RefuseTime.
	maxRemaining = 24 * time.Hour
)

// Message is one of Report, Cleared and IsolationTurn.
type Message interface {
	Check() error
}

// Outgoing is a message for another node of the service.
type Outgoing struct {
	To      string
	Message Message
}

// Suspect is a request that ran in an upstream when it crashed. Later calls match it by key or by fingerprint.
type Suspect struct {
	Key         string `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	// Crashes holds the ids of one or two crashes in which the request ran. Two reports of the same request merge to
	// the union of their ids.
	Crashes []uint64 `cbor:"3,keyasint"`
	// Remaining is the time until the request is no longer a suspect, or no longer refused.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// Check returns an error if the suspect is malformed.
func (s Suspect) Check() error {
	if len(s.Key) > maxKeyLength || (s.Key == "" && s.Fingerprint == 0) {
		return errors.Errorf("suspect: key must have at most %d bytes and must not be empty without a fingerprint", maxKeyLength)
	}
	if len(s.Crashes) < 1 || len(s.Crashes) > maxCrashes {
		return errors.Errorf("suspect: %d crashes: must be 1 to %d", len(s.Crashes), maxCrashes)
	}
	if s.Remaining <= 0 || s.Remaining > maxRemaining {
		return errors.Errorf("suspect: remaining time %s: must be more than 0 and at most %s", s.Remaining, maxRemaining)
	}
	return nil
}

// Report reports requests that ran in an upstream when it crashed.
type Report struct {
	Suspects []Suspect `cbor:"1,keyasint"`
}

// Check returns an error if the message is malformed.
func (r Report) Check() error {
	if len(r.Suspects) > maxSuspectsPerReport {
		return errors.Errorf("report: %d suspects: must be at most %d", len(r.Suspects), maxSuspectsPerReport)
	}
	for _, s := range r.Suspects {
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Cleared reports that a suspect completed its isolated run without a crash.
type Cleared struct {
	Key         string `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if the message is malformed.
func (c Cleared) Check() error {
	if len(c.Key) > maxKeyLength || (c.Key == "" && c.Fingerprint == 0) {
		return errors.Errorf("cleared: key must have at most %d bytes and must not be empty without a fingerprint", maxKeyLength)
	}
	return nil
}

// IsolationTurnStep is a step in the passing of the isolation turn.
type IsolationTurnStep uint8

// The steps. IsolationTurnRequest and IsolationTurnRunning are sent repeatedly, so that a new coordinator learns of
// them.
const (
	// IsolationTurnRequest requests the turn from the coordinator.
	IsolationTurnRequest IsolationTurnStep = iota
	// IsolationTurnGrant gives the turn to a node that requested it.
	IsolationTurnGrant
	// IsolationTurnRunning reports that the sender has the turn and its isolated run is in progress.
	IsolationTurnRunning
	// IsolationTurnReturn returns the turn to the coordinator.
	IsolationTurnReturn
)

// IsolationTurn passes the isolation turn, the right to run one suspect isolated, between a node and the coordinator. A
// service has one turn.
type IsolationTurn struct {
	Step IsolationTurnStep `cbor:"1,keyasint"`
}

// Check returns an error if the message is malformed.
func (t IsolationTurn) Check() error {
	if t.Step > IsolationTurnReturn {
		return errors.Errorf("isolation turn: step %d: must be 0 to %d", t.Step, IsolationTurnReturn)
	}
	return nil
}
