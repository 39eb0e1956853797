package runner

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
	"hornbeamcroft/tracer"
)

// runStream is the body of an answer that is passed on while it arrives. Its run keeps its slot and stays known to the tracer until the
// body has been read to its end, has failed or is closed.
type runStream struct {
	r       *Runner
	ctx     context.Context
	id      uint64
	run     *tracer.Run
	call    hornbeamcroft.Call
	started time.Duration
	// result is that of the exchange.
	result exchanger.Result
	// rec is the log record of the call, without its end.
	rec Record
	// unwatch ends the watch over ctx.
	unwatch func() bool
	ended   atomic.Bool
}

// startStream returns the answer whose body is streamed. The answer is accepted: from here on, a late run is not lost but slow, and its
// own time counts for the estimate of the attempt timeout.
func (r *Runner) startStream(ctx context.Context, s *runStream, to observer.Upstream) hornbeamcroft.Answer {
	s.r, s.ctx = r, ctx
	r.mu.Lock()
	r.crashed = false
	r.recordOwnTime(s.call, s.run, s.result)
	serviceCalls := s.run.ServiceCalls()
	r.mu.Unlock()
	r.reportStatement(to, s.result.Statement)
	a := answerForResult(ctx, s.result)
	a.ServiceCalls = serviceCalls
	a.StreamLength, a.Stream = s.result.StreamLength, s
	return a
}

// watch sets the record, and ends the run when the context ends, although the receiver may not read at that time.
func (s *runStream) watch(rec Record) {
	s.rec = rec
	s.unwatch = context.AfterFunc(s.ctx, func() { s.end(s.ctx.Err()) })
}

// Read implements io.Reader.
func (s *runStream) Read(p []byte) (int, error) {
	n, err := s.result.Stream.Read(p)
	if err != nil {
		s.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (s *runStream) Close() error {
	s.unwatch()
	err := s.result.Stream.Close()
	s.end(exchanger.ErrStreamClosed)
	return err
}

// end ends the run with the error of its body, and releases its slot.
func (s *runStream) end(err error) {
	if s.ended.Swap(true) {
		return
	}
	r := s.r
	s.rec.ServiceTime = r.Clock.Now() - s.started
	s.rec.Outcome, s.rec.Code = s.outcome(err)
	if err != io.EOF {
		s.rec.Err = err
	}
	r.mu.Lock()
	serviceCalls := r.closeRun(s.id, s.run, s.call)
	r.mu.Unlock()
	if s.rec.Outcome == exchanger.OutcomeAnswered && r.OnCleared != nil {
		r.OnCleared(s.call.Fingerprint)
	}
	ended := exchanger.Result{Outcome: s.rec.Outcome, Status: s.result.Status}
	r.finish(s.id, schedulerSample(ended, s.rec.ServiceTime, len(serviceCalls) > 0))
	r.mu.Lock()
	s.rec.Load, s.rec.Level = r.load(), r.scheduler.AdmissionLevel(r.Clock.Now())
	r.mu.Unlock()
	r.OnEnd(s.rec)
}

// outcome returns the outcome of the exchange and the code of the record for the error of the body.
func (s *runStream) outcome(err error) (exchanger.Outcome, hornbeamcroft.Code) {
	switch {
	case err == io.EOF:
		return exchanger.OutcomeAnswered, hornbeamcroft.CodeAnswered
	case s.ctx.Err() != nil:
		return exchanger.OutcomeContextEnded, hornbeamcroft.EndedCode(s.ctx)
	case err == exchanger.ErrStreamClosed:
		return exchanger.OutcomeContextEnded, hornbeamcroft.CodeCallerGone
	}
	return exchanger.OutcomeMalformed, hornbeamcroft.CodeAnswerTruncated
}

// cancelingStream ends the context of its exchange when it is closed.
type cancelingStream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (s *cancelingStream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
