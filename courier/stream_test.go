package courier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/rationer"
)

// stream is a stream that works until its context has ended.
type stream struct {
	ctx    context.Context
	closed bool
}

func (s *stream) Read([]byte) (int, error) { return 0, s.ctx.Err() }

func (s *stream) Close() error {
	s.closed = true
	return nil
}

// TestStreamOfOtherRun guards against the stream of an accepted answer that fails because the other run of the call ends, and against one
// that goes on although another answer was accepted.
func TestStreamOfOtherRun(t *testing.T) {
	for _, tt := range []struct {
		name                string
		first, second       time.Duration
		firstCode, nextCode int
		// hedged is true if the retry is granted beside the run, 200 ms after its begin, and false if it is granted by the answer.
		hedged bool
		// accepted is the answer that is accepted; zero if it may be either.
		accepted int
	}{
		{"run first", 300 * time.Millisecond, 400 * time.Millisecond, 200, 200, true, 1},
		{"retry first", 400 * time.Millisecond, 50 * time.Millisecond, 200, 200, true, 2},
		{"both at once", 300 * time.Millisecond, 100 * time.Millisecond, 200, 200, true, 0},
		{"run failed", 250 * time.Millisecond, 400 * time.Millisecond, 500, 200, true, 2},
		{"both failed", 250 * time.Millisecond, 100 * time.Millisecond, 500, 500, true, 1},
		{"sent again", 20 * time.Millisecond, 20 * time.Millisecond, 500, 200, false, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var streams []*stream
				sends := 0
				c := &Courier{
					Clock: steadyClock{time.Now()}, Rand: randomizer.Randomizer{}, Name: "a", Rationer: &rationer.Rationer{},
					OnEnd:  func(Record) {},
					Linked: func(string) bool { return true }, Dial: func(hornbeamcroft.Member) {},
					Remote: func(ctx context.Context, _ hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
						s := &stream{ctx: ctx}
						streams = append(streams, s)
						a := hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, StreamLength: 1, Stream: s, Load: &hornbeamcroft.Load{}}
						if sends++; sends == 1 {
							if tt.hedged {
								time.AfterFunc(200*time.Millisecond, call.OnRetryGranted)
							}
							time.Sleep(tt.first) // it succeeds although it may have been cancelled meanwhile
							a.Status, a.RetryGranted = tt.firstCode, !tt.hedged
							return a
						}
						time.Sleep(tt.second)
						a.Status = tt.nextCode
						return a
					},
				}
				c.Update([]hornbeamcroft.Member{
					{Name: "b", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1},
					{Name: "c", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1},
				})
				a := c.Deliver(t.Context(), hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
				synctest.Wait()
				_, err := a.Stream.Read(nil)
				is.NoErr(err)
				is.True(streams[0].closed != streams[1].closed)
				is.True(tt.accepted == 0 || !streams[tt.accepted-1].closed)
				a.CloseStream()
				for _, s := range streams {
					is.True(s.closed && s.ctx.Err() != nil)
				}
			})
		})
	}
}
