// Package pacer bounds the rate of the calls to an upstream that takes a limited number per second.
package pacer

import "time"

const (
	// minRate is the rate in calls per second that is used for lower limits, also of zero: only an answer of the upstream
	// tells that the limit has ended.
	minRate = 0.5
	// burstTime is the time for which unused calls are saved. Each start of the node may add one burst, so it is short.
	burstTime = 100 * time.Millisecond
)

// Pacer is a token bucket; each call takes one token. The zero value has no limit. It is not safe for concurrent use.
type Pacer struct {
	limited bool
	// rate is the number of tokens per second. tokens is the number in the bucket at the time updatedAt.
	rate, tokens float64
	updatedAt    time.Duration
}

// SetRate bounds the rate, in calls per second. The bucket starts empty.
func (p *Pacer) SetRate(now time.Duration, rate float64) {
	p.refill(now)
	if !p.limited {
		p.tokens = 0
	}
	p.limited, p.rate = true, max(rate, minRate)
	p.tokens = min(p.tokens, p.burst())
}

// Clear removes the bound.
func (p *Pacer) Clear() { p.limited = false }

// Rate returns the bound in calls per second, or false if there is none.
func (p *Pacer) Rate() (float64, bool) { return p.rate, p.limited }

// Take reports whether a call may start now, and counts it if so.
func (p *Pacer) Take(now time.Duration) bool {
	if !p.limited {
		return true
	}
	p.refill(now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Wait returns the time until a call may start that has the given number of calls ahead of it.
func (p *Pacer) Wait(now time.Duration, ahead int) time.Duration {
	if !p.limited {
		return 0
	}
	p.refill(now)
	missing := float64(ahead+1) - p.tokens
	return time.Duration(max(0, missing) / p.rate * float64(time.Second))
}

// burst returns the size of the bucket in tokens. What exceeds one token makes up for calls that take theirs a little late.
func (p *Pacer) burst() float64 { return 1 + p.rate*burstTime.Seconds() }

// refill adds the tokens of the time since the last update.
func (p *Pacer) refill(now time.Duration) {
	p.tokens = min(p.tokens+p.rate*(now-p.updatedAt).Seconds(), p.burst())
	p.updatedAt = now
}
