package runner

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
)

// streaming is an upstream whose answers have a stream that ends with the error.
type streaming struct {
	upstream
	end error
}

func (u *streaming) Exchange(ctx context.Context, q exchanger.Request) exchanger.Result {
	res := u.upstream.Exchange(ctx, q)
	res.StreamLength, res.Stream = 3, io.NopCloser(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(u.end)))
	return res
}

// TestStreamHoldsSlot guards against a slot that is released while the upstream still sends, or is never released, against a record or an
// estimate that does not tell how the body ended, and against an attempt timeout that grows with the time for which callers read.
func TestStreamHoldsSlot(t *testing.T) {
	for _, tt := range []struct {
		name    string
		end     error
		how     string
		outcome exchanger.Outcome
		code    hornbeamcroft.Code
		failing bool
	}{
		{"whole", io.EOF, "read", exchanger.OutcomeAnswered, hornbeamcroft.CodeAnswered, false},
		{"upstream fails", errors.New("reset"), "read", exchanger.OutcomeMalformed, hornbeamcroft.CodeAnswerTruncated, true},
		{"closed", io.EOF, "close", exchanger.OutcomeContextEnded, hornbeamcroft.CodeCallerGone, false},
		{"caller gone", io.EOF, "cancel", exchanger.OutcomeContextEnded, hornbeamcroft.CodeCallerGone, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRunner(&upstream{}, 100)
				timeout, _ := r.timeoutEstimator.AttemptTimeout("level")
				var records []Record
				r.OnEnd = func(rec Record) { records = append(records, rec) }
				r.Exchanger = &streaming{end: tt.end}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				a := r.Run(ctx, lookup(true))
				is.Equal(a.StreamLength, int64(3))
				time.Sleep(3 * time.Second) // far beyond the attempt timeout: the answer is accepted
				is.Equal(r.Running(), 1)
				is.Equal(r.Load().Running, 1)
				is.Equal(len(records), 0)
				switch tt.how {
				case "read":
					_, err := io.ReadAll(a.Stream)
					is.Equal(err == nil, tt.end == io.EOF)
				case "cancel":
					cancel()
					synctest.Wait()
				case "close":
					a.CloseStream()
				}
				is.Equal(r.Running(), 0)
				is.Equal(r.Load().Running, 0)
				a.CloseStream()
				is.Equal(len(records), 1)
				is.Equal(records[0].Outcome, tt.outcome)
				is.Equal(records[0].Code, tt.code)
				is.Equal(records[0].ServiceTime, 3*time.Second+usualTime)
				is.Equal(r.Load().FailureRatio > 0, tt.failing)
				after, _ := r.timeoutEstimator.AttemptTimeout("level")
				is.Equal(after, timeout)
			})
		})
	}
}
