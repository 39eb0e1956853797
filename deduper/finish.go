package deduper

import (
	"bytes"
	"time"

	"hornbeamcroft"
)

// Finish records the outcome of the running call of a key and returns the answer for all senders that wait for it.
// Serve is the current result of owner.MayDispatch: without a permit, the home may claim "not run" for a first send only.
func (d *Deduper) Finish(now time.Duration, wall int64, key string, a hornbeamcroft.Answer, serve bool) hornbeamcroft.Answer {
	r := d.records[key]
	if r == nil || r.state != StateRunning {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	}
	r.code = a.Code
	switch a.Code.Claim() {
	case hornbeamcroft.ClaimRan:
		d.recordAnswer(r, a)
	case hornbeamcroft.ClaimNotRun:
		d.markRefused(now, wall, r)
		if !serve && !r.firstSendOnly {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeEarlierSendUnknown, UnspentRetries: a.UnspentRetries, AdmissionLevels: a.AdmissionLevels}
		}
		a.RetryAfter = max(a.RetryAfter, 2*d.ClockSkew)
		return a
	default:
		r.state = StateUnknown
	}
	r.expiresAt = now + d.KeyWindow
	d.enqueue(&d.finishedQueue, r)
	return a
}

// recordAnswer adds the answer to the record. If the records would then exceed MaxBytes, it omits body and content type
// and marks the answer as truncated.
func (d *Deduper) recordAnswer(r *record, a hornbeamcroft.Answer) {
	d.bytes -= r.bytes()
	r.state = StateAnswered
	r.answer = &recordedAnswer{status: a.Status, contentType: a.ContentType, body: withoutSpare(a.Body)}
	if d.bytes+r.bytes() > d.MaxBytes {
		r.answer = &recordedAnswer{status: a.Status, truncated: true}
	}
	d.bytes += r.bytes()
}

// withoutSpare returns the body in a buffer of about its size. Bodies are read into buffers of at least 512 bytes that grow by steps.
func withoutSpare(body []byte) []byte {
	if cap(body)-len(body) <= len(body)/8 {
		return body
	}
	return bytes.Clone(body)
}

// resetReturned marks a record as local again after its key moved to another home and came back without a newer record.
// A refusal becomes an unknown outcome, since the other home may have run the key in between.
func (d *Deduper) resetReturned(now time.Duration, r *record) {
	r.movedEpoch = 0
	if r.state != StateRefused {
		return
	}
	r.state, r.code, r.expiresAt = StateUnknown, hornbeamcroft.CodeKeyBeforeTakeover, now+d.KeyWindow
	d.enqueue(&d.finishedQueue, r)
}
