package deduper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestSenderClockSetBack guards against calls that do not run because their sender's clock was set back before it restarted,
// so that its incarnation is lower than before.
func TestSenderClockSetBack(t *testing.T) {
	is := is.New(t)
	c := &Calls{}
	before, after := CallID{Sender: "a", Incarnation: 9, ID: 1}, CallID{Sender: "a", Incarnation: 4, ID: 1}
	begin := func(id CallID) CallStatus {
		status, _ := c.Begin(0, id, time.Second)
		return status
	}
	is.Equal(begin(before), CallNew)
	is.Equal(begin(after), CallNew)
	is.Equal(begin(after), CallRunning)
	// Frames of the previous process that arrive late are recognized, and its outcomes are kept apart.
	is.Equal(begin(before), CallRunning)
	c.Finish(0, before, hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 201})
	status, answer := c.Query(0, before, 0)
	is.Equal(status, CallAnswered)
	is.Equal(answer.Status, 201)
	is.Equal(begin(after), CallRunning)
	is.Equal(c.Len(), 2)
}
