// Package flowcontroller bounds the bytes of a streamed body that its sender has sent and its receiver has not passed on. It holds the
// arithmetic of both ends and does no I/O.
package flowcontroller

import "github.com/go-faster/errors"

// creditDivisor divides the window. The quotient is the number of bytes that a receiver passes on between two credits: fewer credits
// than chunks, while the sender never waits with most of the window free.
const creditDivisor = 4

// Errors of a peer that does not keep to the window.
var (
	errWindowExceeded = errors.New("more bytes than the window allows")
	errCreditExceeded = errors.New("credit for more bytes than were sent")
)

// FlowController is one end of a flow-controlled body. The sender uses Free, Add and Credit, the receiver Add and PassOn. Set the
// exported fields before first use. It is not safe for concurrent use.
type FlowController struct {
	// Window is the maximum number of bytes in flight.
	Window int

	// inFlight is the number of bytes that were sent or received and for which no credit was sent or received; at most Window.
	inFlight int
	// passedOn is the number of bytes that were passed on since the last credit; at most inFlight.
	passedOn int
}

// Free returns the number of bytes that may be sent now.
func (f *FlowController) Free() int { return f.Window - f.inFlight }

// Add records that n bytes are sent or have arrived. It returns an error and records nothing if they exceed the window.
func (f *FlowController) Add(n int) error {
	if n < 0 || n > f.Free() {
		return errors.Wrapf(errWindowExceeded, "%d bytes with %d free", n, f.Free())
	}
	f.inFlight += n
	return nil
}

// Credit records a credit of n bytes that the receiver has sent.
func (f *FlowController) Credit(n int) error {
	if n < 1 || n > f.inFlight {
		return errors.Wrapf(errCreditExceeded, "%d bytes with %d in flight", n, f.inFlight)
	}
	f.inFlight -= n
	return nil
}

// PassOn records that n received bytes were passed on, and returns the credit to send to the sender; zero if none is due yet.
func (f *FlowController) PassOn(n int) int {
	f.passedOn = min(f.passedOn+n, f.inFlight)
	if f.passedOn < f.Window/creditDivisor || f.passedOn == 0 {
		return 0
	}
	credit := f.passedOn
	f.inFlight -= credit
	f.passedOn = 0
	return credit
}
