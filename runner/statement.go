package runner

import (
	"hornbeamcroft"
	"hornbeamcroft/observer"
)

// reportStatement calls OnStatement if the statement, which may be nil, is the first one of an answer or differs from the
// known one.
func (r *Runner) reportStatement(to observer.Upstream, s *hornbeamcroft.Statement) {
	if s == nil || r.OnStatement == nil {
		return
	}
	r.mu.Lock()
	known := r.upstream
	r.mu.Unlock()
	if !known.Answered || *s != known.Statement {
		r.OnStatement(to, *s)
	}
}

// applyReport calls OnReport if the sender of the call knows of a statement that this process may not know.
func (r *Runner) applyReport(call hornbeamcroft.Call) {
	if call.Upstream == nil || r.OnReport == nil {
		return
	}
	r.mu.Lock()
	known := r.upstream
	r.mu.Unlock()
	leaving := call.Upstream.Statement.Leaving && !known.Statement.Leaving
	if leaving || !known.Answered && call.Upstream.Statement != known.Statement {
		r.OnReport(*call.Upstream)
	}
}

// countSend counts a call that is sent to the upstream. The caller must hold r.mu.
func (r *Runner) countSend(call hornbeamcroft.Call) {
	r.sends++
	if call.Sends > 0 || call.Retry {
		r.resends++
	}
}

// GrantsBesideRun returns the number of retries that were granted since the start while their runs went on.
func (r *Runner) GrantsBesideRun() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.grantsBesideRun
}

// Sends returns the number of calls sent to the upstream since the start, and how many of them were repeats.
func (r *Runner) Sends() (sends, resends int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends, r.resends
}
