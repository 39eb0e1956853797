package stopper

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	grace  = 5 * time.Second
	notice = 2500 * time.Millisecond
	begin  = 40 * time.Second
	// manySamples is a number of durations that adds little to the margin.
	manySamples = 1000
)

// newStopper returns a Stopper that knows the given number of durations of the type "a", and whose stop has begun.
func newStopper(samples int, took time.Duration) *Stopper {
	s := &Stopper{Grace: grace, Notice: notice}
	for range samples {
		s.Record(begin-time.Second, "a", took)
	}
	s.Begin(begin)
	return s
}

// TestTakenRequestIsCutOff guards against a request that is taken during a stop and does not end before the process.
func TestTakenRequestIsCutOff(t *testing.T) {
	for _, samples := range []int{1, manySamples} {
		for took := 100 * time.Millisecond; took < 4*time.Second; took += 100 * time.Millisecond {
			s := newStopper(samples, took)
			for elapsed := time.Duration(0); elapsed < grace; elapsed += 50 * time.Millisecond {
				if s.Takes(begin+elapsed, "a", time.Minute) && elapsed+took > grace {
					t.Errorf("a request of %s is taken %s after the begin", took, elapsed)
				}
			}
		}
	}
}

// TestRefusedSoonerThanNeeded guards against requests that are refused during a stop although they would end in time.
func TestRefusedSoonerThanNeeded(t *testing.T) {
	is := is.New(t)
	s := &Stopper{Grace: grace, Notice: notice}
	is.True(s.Takes(0, "a", time.Minute)) // no stop has begun
	s = newStopper(0, 0)
	is.True(s.Takes(begin+notice-1, "a", time.Minute)) // senders do not know of the stop yet
	is.True(!s.Takes(begin+notice, "a", time.Minute))
	is.True(s.Takes(begin+grace-300*time.Millisecond, "a", 300*time.Millisecond)) // the deadline ends it in time
	s = newStopper(manySamples, 400*time.Millisecond)
	is.True(s.Takes(begin+grace-600*time.Millisecond, "a", time.Minute))
	is.True(!s.Takes(begin+grace-600*time.Millisecond, "b", time.Minute))
	s = newStopper(20, 400*time.Millisecond)
	is.True(s.Takes(begin+grace-time.Second, "a", time.Minute)) // a few durations say something, too
	is.True(!s.Takes(begin+grace-600*time.Millisecond, "a", time.Minute))
}

// TestSlowTimeForgotten guards against a type that is refused for ever because one request was slow.
func TestSlowTimeForgotten(t *testing.T) {
	is := is.New(t)
	s := &Stopper{Grace: grace, Notice: notice}
	for i := range 3 {
		took := 4 * time.Second
		if i > 0 {
			took = 100 * time.Millisecond
		}
		for range manySamples {
			s.Record(time.Duration(i)*epoch, "a", took)
		}
	}
	s.Begin(2*epoch + time.Second)
	is.True(s.Takes(2*epoch+time.Second+notice, "a", time.Minute))
}

// TestRetryAfter guards against a caller that is told to come back while the node is still stopping.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newStopper(0, 0)
	is.Equal(s.RetryAfter(begin, time.Second), notice)
	is.Equal(s.RetryAfter(begin+notice, time.Second), grace-notice+time.Second)
	is.Equal(s.RetryAfter(begin+2*grace, time.Second), time.Second)
}

// TestTypesAreBounded guards against memory that grows with the number of types.
func TestTypesAreBounded(t *testing.T) {
	is := is.New(t)
	var s Stopper
	for i := range 2 * maxTypes {
		s.Record(0, strconv.Itoa(i), time.Second)
	}
	is.True(len(s.durations) <= maxTypes)
}
