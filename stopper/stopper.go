// Package stopper decides which requests a node still takes after a planned stop has begun: those that end before the process
// does, by their deadline or, for a part of the stop, by the time that requests of their type took so far. The others are refused,
// so that they can be served elsewhere or later.
package stopper

import "time"

const (
	// epoch is the time over which the longest duration of a type is determined; the previous epoch counts too.
	epoch = 30 * time.Second
	// margin is the share of the longest duration that is added to it, because the next request may last longer. The fewer
	// durations are known, the more is added: sampleMargin divided by their number.
	margin       = 0.25
	sampleMargin = 10
	// maxTypes bounds the number of types whose durations are kept.
	maxTypes = 4096
	// answerTime is reserved for writing the answer to a request that ends at its deadline.
	answerTime = 100 * time.Millisecond
)

// Stopper holds the durations of requests by type. Set the exported fields before Begin. It is not safe for concurrent use.
type Stopper struct {
	// Grace is the time from the begin of the stop until requests in flight are cut off.
	Grace time.Duration
	// Notice is the time from the begin of the stop within which senders learn of it. Until then, requests of which little is
	// known are taken.
	Notice time.Duration
	// Certain is the time from the begin of the stop after which the durations of earlier requests decide no more: a request may
	// take longer than any before it, and only its deadline bounds it. It is at least Notice.
	Certain time.Duration

	durations map[string]*durations
	stopping  bool
	began     time.Duration
}

// durations are the durations of requests of one type in two epochs.
type durations struct {
	epochStart          time.Duration
	current, previous   time.Duration
	samples, oldSamples int
}

// Record records how long a request of the type took from its arrival to its end.
func (s *Stopper) Record(now time.Duration, name string, took time.Duration) {
	d := s.durations[name]
	if d == nil {
		if s.durations == nil || len(s.durations) >= maxTypes {
			s.durations = make(map[string]*durations)
		}
		d = &durations{epochStart: now}
		s.durations[name] = d
	}
	if now-d.epochStart >= epoch {
		d.previous, d.oldSamples = d.current, d.samples
		d.current, d.samples, d.epochStart = 0, 0, now
	}
	d.current = max(d.current, took)
	d.samples++
}

// Begin records that the planned stop begins.
func (s *Stopper) Begin(now time.Duration) { s.stopping, s.began = true, now }

// Takes reports whether the node takes a request of the type, whose sender waits for the remaining time.
func (s *Stopper) Takes(now time.Duration, name string, remaining time.Duration) bool {
	return s.TakesBounded(now, remaining) || now-s.began < s.Certain && s.TakesUsual(now, name)
}

// TakesBounded reports whether the deadline of a request, which is the remaining time away, ends it before the process.
func (s *Stopper) TakesBounded(now, remaining time.Duration) bool {
	return !s.stopping || remaining+answerTime <= s.Grace-(now-s.began)
}

// TakesUsual reports whether a request of the type would end before the process if it took as long as the longest one so far.
func (s *Stopper) TakesUsual(now time.Duration, name string) bool {
	if !s.stopping {
		return true
	}
	elapsed := now - s.began
	left := s.Grace - elapsed
	longest, samples := s.longest(name)
	share := 1 + margin
	if elapsed >= s.Notice {
		if samples == 0 {
			return false
		}
		share += sampleMargin / float64(samples)
	}
	return time.Duration(share*float64(longest)) <= left
}

// longest returns the longest known duration of requests of the type, and how many durations are known.
func (s *Stopper) longest(name string) (time.Duration, int) {
	d := s.durations[name]
	if d == nil {
		return 0, 0
	}
	return max(d.current, d.previous), d.samples + d.oldSamples
}

// RetryAfter returns the time after which a refused sender should come back: when it has learned of the stop and is sent to
// another node, or after that, when this node runs again, which takes restart from the end of the process.
func (s *Stopper) RetryAfter(now, restart time.Duration) time.Duration {
	elapsed := now - s.began
	if elapsed < s.Notice {
		return s.Notice - elapsed
	}
	return max(s.Grace-elapsed, 0) + restart
}
