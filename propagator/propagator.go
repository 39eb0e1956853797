// Package propagator keeps the admission levels of other services as answers report them. A request that a service
// further down the call graph would shed can then be refused before any work is done for it.
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
	// MaxEntries is the largest number of admission levels in one answer.
	MaxEntries = 8
	// DefaultHalfLife is the time in which the severity of an admission level halves if the level is not reported
	// again. The effect of a lost update then fades within seconds.
	DefaultHalfLife = time.Second
	// DefaultProbeShare is the share of the requests to be refused that is sent nevertheless, so that the service can
	// report a lower level.
	DefaultProbeShare = 0.01
	// maxServices is the largest number of services whose levels are kept. It bounds the memory that answers can make a
	// node use.
	maxServices = 1024
	// reportWeight is the weight of a new report in the moving average of a service's severity. The average is needed
	// because each upstream of a service has a level of its own and answers from different upstreams alternate.
	reportWeight = 0.25
	// minSeverity is the severity below which a level is dropped: it sheds less than 1 % of the requests of the lowest
	// importance.
	minSeverity = hornbeamcroft.ThresholdAll / 100
	// meanRetryAfter is the mean of Verdict.RetryAfter, which is spread over 0.5 to 1.5 times this value.
	meanRetryAfter = time.Second
)

// Propagator holds one entry for each service that sheds requests. It is not safe for concurrent use.
type Propagator struct {
	// HalfLife is the half-life of the severity of a level; DefaultHalfLife if zero, no decay if negative.
	HalfLife time.Duration
	// ProbeShare is the share of the requests to be refused that is admitted as probes, 0 to 1; DefaultProbeShare if
	// zero, none if negative.
	ProbeShare float64

	entries map[string]entry
}

// entry is the admission level of one service as a single number. The severity is 0 if all requests are admitted, and
// rises by ThresholdAll for each importance whose requests are all shed.
type entry struct {
	severity  float64
	updatedAt time.Duration
}

// Verdict is the decision whether a request may be sent.
type Verdict struct {
	Admitted bool
	// Probe is true if the request is admitted only to learn the present admission level.
	Probe bool
	// Service is the service that would shed the request; empty if there is none.
	Service string
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
}

// Observe records the admission levels of an answer from the service from. If the answer holds no level of that
// service, the service sheds nothing. Levels with an importance or a threshold out of range are ignored.
func (p *Propagator) Observe(now time.Duration, from string, levels []hornbeamcroft.AdmissionLevel) {
	reportsItself := false
	for _, level := range levels {
		if level.Importance >= hornbeamcroft.ImportanceLevels || level.Threshold > hornbeamcroft.ThresholdAll {
			continue
		}
		reportsItself = reportsItself || level.Service == from
		p.merge(now, level.Service, severityOf(level))
	}
	if !reportsItself {
		p.merge(now, from, 0)
	}
}

// merge includes a report in the moving average of the service's severity.
func (p *Propagator) merge(now time.Duration, service string, severity float64) {
	old := p.severity(now, service)
	severity = old + (severity-old)*reportWeight
	if severity < minSeverity {
		delete(p.entries, service)
		return
	}
	if p.entries == nil {
		p.entries = make(map[string]entry)
	}
	if _, ok := p.entries[service]; ok || len(p.entries) < maxServices {
		p.entries[service] = entry{severity: severity, updatedAt: now}
	}
}

// Admit decides whether a request that will reach the services may be sent. It must not be called for non-idempotent
// requests, because the home of their key decides about them.
func (p *Propagator) Admit(now time.Duration, rnd hornbeamcroft.Rand, services []string, importance hornbeamcroft.Importance,
	hash uint32,
) Verdict {
	if len(p.entries) == 0 {
		return Verdict{Admitted: true}
	}
	for _, s := range services {
		if admitter.Admits(admissionLevelOf(s, p.severity(now, s)), importance, hash) {
			continue
		}
		if rnd.Float64() < p.probeShare() {
			return Verdict{Admitted: true, Probe: true, Service: s}
		}
		after := meanRetryAfter/2 + meanRetryAfter*time.Duration(hash)/hornbeamcroft.ThresholdAll
		return Verdict{Service: s, RetryAfter: after}
	}
	return Verdict{Admitted: true}
}

// Export returns the admission levels for an answer, at most MaxEntries: first that of the node's own service if it
// sheds requests, then those of the other services in descending order of severity.
func (p *Propagator) Export(now time.Duration, own hornbeamcroft.AdmissionLevel) []hornbeamcroft.AdmissionLevel {
	var levels []hornbeamcroft.AdmissionLevel
	for s := range p.entries {
		severity := p.severity(now, s)
		if severity < minSeverity {
			delete(p.entries, s)
			continue
		}
		if s != own.Service {
			levels = append(levels, admissionLevelOf(s, severity))
		}
	}
	slices.SortFunc(levels, func(a, b hornbeamcroft.AdmissionLevel) int {
		return cmp.Or(cmp.Compare(severityOf(b), severityOf(a)), cmp.Compare(a.Service, b.Service))
	})
	if severityOf(own) > 0 {
		levels = slices.Insert(levels, 0, own)
	}
	return levels[:min(len(levels), MaxEntries)]
}

// AdmissionLevel returns the level of the service as it is estimated at the time now.
func (p *Propagator) AdmissionLevel(now time.Duration, service string) hornbeamcroft.AdmissionLevel {
	return admissionLevelOf(service, p.severity(now, service))
}

// severity returns the severity of the service's level after its decay until now.
func (p *Propagator) severity(now time.Duration, service string) float64 {
	e, ok := p.entries[service]
	if !ok || p.HalfLife < 0 {
		return e.severity
	}
	halfLife := p.HalfLife
	if halfLife == 0 {
		halfLife = DefaultHalfLife
	}
	return e.severity * math.Exp2(-float64(now-e.updatedAt)/float64(halfLife))
}

func (p *Propagator) probeShare() float64 {
	if p.ProbeShare == 0 {
		return DefaultProbeShare
	}
	return p.ProbeShare
}

// severityOf converts a level to the number that entry holds; admissionLevelOf is the reverse.
func severityOf(level hornbeamcroft.AdmissionLevel) float64 {
	return float64(level.Importance)*hornbeamcroft.ThresholdAll + hornbeamcroft.ThresholdAll - float64(level.Threshold)
}

func admissionLevelOf(service string, severity float64) hornbeamcroft.AdmissionLevel {
	importance := min(hornbeamcroft.Importance(severity/hornbeamcroft.ThresholdAll), hornbeamcroft.ImportanceLevels-1)
	shed := math.Min(severity-float64(importance)*hornbeamcroft.ThresholdAll, hornbeamcroft.ThresholdAll)
	return hornbeamcroft.AdmissionLevel{
		Service: service, Importance: importance, Threshold: hornbeamcroft.ThresholdAll - uint32(shed),
	}
}
