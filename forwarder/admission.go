package forwarder

import (
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/propagator"
	"hornbeamcroft/randomizer"
)

// recordOutcome passes the outcome of an idempotent call to the balancer, and the admission levels in the answer to the
// propagator.
func (f *Forwarder) recordOutcome(call hornbeamcroft.Call, target string, duration time.Duration, a hornbeamcroft.Answer) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.propagator.Observe(now, call.Service, a.AdmissionLevels)
	f.recordReached(call, a.AdmissionLevels)
	if call.Idempotent {
		f.balancer(call.Service).Finish(now, target, duration, outcomeOf(a))
	}
}

// outcomeOf classifies an answer for the balancer.
func outcomeOf(a hornbeamcroft.Answer) hornbeamcroft.Outcome {
	switch a.Code {
	case hornbeamcroft.CodeAnswered, hornbeamcroft.CodeAnsweredFromRecord:
		if a.Status >= 500 {
			return hornbeamcroft.OutcomeFailure
		}
		return hornbeamcroft.OutcomeSuccess
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated,
		hornbeamcroft.CodeUpstreamUnreachable, hornbeamcroft.CodeUpstreamNotRegistered, hornbeamcroft.CodeDeadlinePassed:
		return hornbeamcroft.OutcomeFailure
	case hornbeamcroft.CodeCallerGone, hornbeamcroft.CodeCancelledBeforeStart, hornbeamcroft.CodeAnswerGone:
		return hornbeamcroft.OutcomeIgnored
	}
	return hornbeamcroft.OutcomeRefused
}

// shedEarly refuses an idempotent request at its ingress node if a service that the request will reach would shed it.
// It reports whether the request is refused.
func (f *Forwarder) shedEarly(call hornbeamcroft.Call) (hornbeamcroft.Answer, bool) {
	if !f.ShedEarly || !call.Idempotent || call.Depth != 1 {
		return hornbeamcroft.Answer{}, false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict := f.propagator.Admit(now, randomizer.Randomizer{}, append([]string{call.Service}, f.reached[call.Service+"/"+call.Type]...), call.Importance, admitter.Hash(call.Request))
	if verdict.Admitted {
		return hornbeamcroft.Answer{}, false
	}
	code := hornbeamcroft.CodeServicePressedBelow
	if verdict.Service == call.Service {
		code = hornbeamcroft.CodeOverloaded
	}
	return hornbeamcroft.Answer{Code: code, RetryAfter: verdict.RetryAfter}, true
}

// maxRequestTypes is the largest number of request types for which the reached services are kept.
const maxRequestTypes = 4096

// recordReached adds the services in an answer's admission levels to those that the request type of the call reaches.
// Only these can shed a request of the type. They cannot be taken from the document, because it says which services a
// service may call, but not for which request types. The caller must hold f.mu.
func (f *Forwarder) recordReached(call hornbeamcroft.Call, levels []hornbeamcroft.AdmissionLevel) {
	name := call.Service + "/" + call.Type
	services := f.reached[name]
	for _, level := range levels {
		if level.Service != call.Service && !slices.Contains(services, level.Service) && len(services) < propagator.MaxEntries {
			services = append(services, level.Service)
		}
	}
	if f.reached == nil {
		f.reached = make(map[string][]string)
	}
	if _, ok := f.reached[name]; ok || len(f.reached) < maxRequestTypes {
		f.reached[name] = services
	}
}
