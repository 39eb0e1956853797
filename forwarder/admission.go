package forwarder

import (
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/propagator"
	"hornbeamcroft/randomizer"
)

// learn passes the outcome to the balancer and the reported admission levels to the propagator.
func (f *Forwarder) learn(call hornbeamcroft.Call, target string, took time.Duration, a hornbeamcroft.Answer) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.propagator.Observe(now, call.Service, a.AdmissionLevels)
	f.learnPath(call, a.AdmissionLevels)
	if call.Idempotent {
		f.balancer(call.Service).Finish(now, target, took, outcome(a))
	}
}

func outcome(a hornbeamcroft.Answer) hornbeamcroft.Outcome {
	switch a.Code {
	case hornbeamcroft.CodeAnswered, hornbeamcroft.CodeAnsweredFromRecord:
		if a.Status >= 500 {
			return hornbeamcroft.OutcomeFailure
		}
		return hornbeamcroft.OutcomeSuccess
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated,
		hornbeamcroft.CodeUpstreamUnreachable, hornbeamcroft.CodeUpstreamNotRegistered, hornbeamcroft.CodeDeadlinePassed:
		return hornbeamcroft.OutcomeFailure
	case hornbeamcroft.CodeCallerGone, hornbeamcroft.CodeCancelledBeforeStart:
		return hornbeamcroft.OutcomeIgnored
	}
	return hornbeamcroft.OutcomeRefused
}

// shed refuses an idempotent request at its entry if a service below would shed it.
func (f *Forwarder) shed(call hornbeamcroft.Call) (hornbeamcroft.Answer, bool) {
	if !f.ShedEarly || !call.Idempotent || call.Depth != 1 {
		return hornbeamcroft.Answer{}, false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.propagator.Admit(now, randomizer.Randomizer{}, append([]string{call.Service}, f.paths[call.Service+"/"+call.Type]...), call.Importance, admitter.Hash(call.Request))
	if v.Admitted {
		return hornbeamcroft.Answer{}, false
	}
	code := hornbeamcroft.CodeServicePressedBelow
	if v.Service == call.Service {
		code = hornbeamcroft.CodeOverloaded
	}
	return hornbeamcroft.Answer{Code: code, RetryAfter: v.RetryAfter}, true
}

// maxPaths bounds the request types whose services are remembered.
const maxPaths = 4096

// learnPath notes the services that calls of the type reach. Only these can shed a request of the type: the document
// says which services a service may call, but not for which request types. The lock is held.
func (f *Forwarder) learnPath(call hornbeamcroft.Call, levels []hornbeamcroft.AdmissionLevel) {
	name := call.Service + "/" + call.Type
	path := f.paths[name]
	for _, p := range levels {
		if p.Service != call.Service && !slices.Contains(path, p.Service) && len(path) < propagator.MaxEntries {
			path = append(path, p.Service)
		}
	}
	if f.paths == nil {
		f.paths = make(map[string][]string)
	}
	if _, ok := f.paths[name]; ok || len(f.paths) < maxPaths {
		f.paths[name] = path
	}
}
