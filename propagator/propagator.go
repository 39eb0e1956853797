// Package propagator keeps the admission level of other services as answers report it, so that a request that a service
// further down would shed is refused before work is done for it.
package propagator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
)

const (
	// MaxEntries is the number of pressed services on an answer.
	MaxEntries = 8
	// DefaultHalfLife halves the severity of an admission level that is not reported again. A lost update then ages away within seconds.
	DefaultHalfLife = time.Second
	// DefaultProbeShare of the requests that would be refused are sent, so that the service can report a lower level.
	DefaultProbeShare = 0.01
	// maxServices bounds the services that answers can make a node remember.
	maxServices = 1024
	// reportGain is the weight of one report. The upstreams of a service have levels of their own, and answers from
	// different ones alternate.
	reportGain = 0.25
	// leastCut is the severity below which a level is forgotten: it sheds less than 1 % of the lowest importance.
	leastCut = hornbeamcroft.ThresholdAll / 100
	// retryAfter is the mean time after which a refused request may be sent again.
	retryAfter = time.Second
)

// Propagator holds one entry for each pressed service. It is not safe for concurrent use.
type Propagator struct {
	// HalfLife of the severity; DefaultHalfLife if zero, no decay if negative.
	HalfLife time.Duration
	// ProbeShare of the requests to be refused is admitted, 0 to 1; DefaultProbeShare if zero, none if negative.
	ProbeShare float64

	entries map[string]entry
}

// entry is an admission level as a position: the importance levels follow one another, each ThresholdAll wide, and requests
// below the cut are shed.
type entry struct {
	cut float64
	at  time.Duration
}

// Verdict says whether a request is sent.
type Verdict struct {
	Admitted bool
	// Probe is true if the request is admitted only to learn the present admission level.
	Probe bool
	// Service is the one that would shed the request.
	Service string
	// RetryAfter is when a refused request may be sent again.
	RetryAfter time.Duration
}

// Observe records the admission levels of an answer. The service from sent it: without an entry of its own it sheds nothing.
func (p *Propagator) Observe(now time.Duration, from string, ps []hornbeamcroft.AdmissionLevel) {
	own := false
	for _, e := range ps {
		if e.Importance >= hornbeamcroft.ImportanceCount || e.Threshold > hornbeamcroft.ThresholdAll {
			continue
		}
		own = own || e.Service == from
		p.merge(now, e.Service, cutOf(e))
	}
	if !own {
		p.merge(now, from, 0)
	}
}

func (p *Propagator) merge(now time.Duration, service string, cut float64) {
	old := p.cut(now, service)
	cut = old + (cut-old)*reportGain
	if cut < leastCut {
		delete(p.entries, service)
		return
	}
	if p.entries == nil {
		p.entries = make(map[string]entry)
	}
	if _, ok := p.entries[service]; ok || len(p.entries) < maxServices {
		p.entries[service] = entry{cut: cut, at: now}
	}
}

// Admit says whether a request that will call the services may be sent. Non-idempotent requests must not be asked for:
// the home of their key decides.
func (p *Propagator) Admit(now time.Duration, r hornbeamcroft.Rand, services []string, i hornbeamcroft.Importance,
	hash uint32,
) Verdict {
	if len(p.entries) == 0 {
		return Verdict{Admitted: true}
	}
	for _, s := range services {
		if admitter.Admits(admissionLevelOf(s, p.cut(now, s)), i, hash) {
			continue
		}
		if r.Float64() < p.probeShare() {
			return Verdict{Admitted: true, Probe: true, Service: s}
		}
		after := retryAfter/2 + retryAfter*time.Duration(hash)/hornbeamcroft.ThresholdAll
		return Verdict{Service: s, RetryAfter: after}
	}
	return Verdict{Admitted: true}
}

// Export returns the admission levels for an answer: the node's own service first, then the ones below it that shed most.
func (p *Propagator) Export(now time.Duration, own hornbeamcroft.AdmissionLevel) []hornbeamcroft.AdmissionLevel {
	var ps []hornbeamcroft.AdmissionLevel
	for s := range p.entries {
		cut := p.cut(now, s)
		if cut < leastCut {
			delete(p.entries, s)
			continue
		}
		if s != own.Service {
			ps = append(ps, admissionLevelOf(s, cut))
		}
	}
	slices.SortFunc(ps, func(a, b hornbeamcroft.AdmissionLevel) int {
		return cmp.Or(cmp.Compare(cutOf(b), cutOf(a)), cmp.Compare(a.Service, b.Service))
	})
	if cutOf(own) > 0 {
		ps = slices.Insert(ps, 0, own)
	}
	return ps[:min(len(ps), MaxEntries)]
}

// AdmissionLevel returns the level of a service as it is known at now.
func (p *Propagator) AdmissionLevel(now time.Duration, service string) hornbeamcroft.AdmissionLevel {
	return admissionLevelOf(service, p.cut(now, service))
}

// cut returns the decayed cut of the service.
func (p *Propagator) cut(now time.Duration, service string) float64 {
	e, ok := p.entries[service]
	if !ok || p.HalfLife < 0 {
		return e.cut
	}
	half := p.HalfLife
	if half == 0 {
		half = DefaultHalfLife
	}
	return e.cut * math.Exp2(-float64(now-e.at)/float64(half))
}

func (p *Propagator) probeShare() float64 {
	if p.ProbeShare == 0 {
		return DefaultProbeShare
	}
	return p.ProbeShare
}

func cutOf(p hornbeamcroft.AdmissionLevel) float64 {
	return float64(p.Importance)*hornbeamcroft.ThresholdAll + hornbeamcroft.ThresholdAll - float64(p.Threshold)
}

func admissionLevelOf(service string, cut float64) hornbeamcroft.AdmissionLevel {
	i := min(hornbeamcroft.Importance(cut/hornbeamcroft.ThresholdAll), hornbeamcroft.ImportanceCritical)
	within := math.Min(cut-float64(i)*hornbeamcroft.ThresholdAll, hornbeamcroft.ThresholdAll)
	return hornbeamcroft.AdmissionLevel{
		Service: service, Importance: i, Threshold: hornbeamcroft.ThresholdAll - uint32(within),
	}
}
