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
	// certain is after notice, so that the tests see each part of the stop.
	certain = 4 * time.Second
	begin   = 40 * time.Second
	// manySamples is a number of durations that adds little to the margin.
	manySamples = 1000
)

// newStopper returns a Stopper that knows the given number of durations of the type "a", and whose stop has begun.
func newStopper(samples int, took time.Duration) *Stopper {
	s := &Stopper{Grace: grace, Notice: notice, Certain: certain}
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
	s := &Stopper{Grace: grace, Notice: notice, Certain: certain}
	is.True(s.Takes(0, "a", time.Minute)) // no stop has begun
	s = newStopper(0, 0)
	is.True(s.Takes(begin+notice-1, "a", time.Minute)) // senders do not know of the stop yet
	is.True(!s.Takes(begin+notice, "a", time.Minute))
	is.True(s.Takes(begin+grace-400*time.Millisecond, "a", 300*time.Millisecond)) // the deadline ends it in time
	s = newStopper(manySamples, 400*time.Millisecond)
	is.True(s.Takes(begin+certain-1, "a", time.Minute))
	is.True(!s.Takes(begin+certain-1, "b", time.Minute))
	is.True(s.TakesUsual(begin+grace-600*time.Millisecond, "a")) // for work that may be cut off
	is.True(!s.TakesUsual(begin+grace-600*time.Millisecond, "b"))
	s = newStopper(20, 400*time.Millisecond)
	is.True(s.TakesUsual(begin+grace-time.Second, "a")) // a few durations say something, too
	is.True(!s.TakesUsual(begin+grace-600*time.Millisecond, "a"))
}

// TestLongerThanBefore guards against a request that is taken late in a stop because earlier ones were short, and is cut off because
// it takes longer than any of them.
func TestLongerThanBefore(t *testing.T) {
	is := is.New(t)
	s := newStopper(manySamples, 10*time.Millisecond)
	for elapsed := certain; elapsed < grace; elapsed += 10 * time.Millisecond {
		left := grace - elapsed
		is.True(!s.Takes(begin+elapsed, "a", left)) // it would be answered as the process ends
		is.True(left <= answerTime || s.Takes(begin+elapsed, "a", left-answerTime))
	}
}

// TestSlowTimeForgotten guards against a type that is refused for ever because one request was slow.
func TestSlowTimeForgotten(t *testing.T) {
	is := is.New(t)
	s := &Stopper{Grace: grace, Notice: notice, Certain: certain}
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
