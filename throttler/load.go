package throttler

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/leveler"
)

const (
	// reportTTL is how long a reported load, and an admission level received from another service, counts.
	reportTTL = 500 * time.Millisecond
	// avoidThreshold is the share of failed calls, in thousandths, from which the throttler assumes that senders avoid a
	// host; the placer itself adds a cost from a share of 0.08 on. An avoided host answers few calls and so reports
	// rarely; its capacity counts for avoidedReportTTL, after which the share has decayed far enough for the host to be
	// tried again.
	avoidThreshold   = 100
	avoidedReportTTL = 8 * time.Second
	// maxFreshAge is the age up to which the reports that this node received from the hosts take precedence over a
	// level received through another service.
	maxFreshAge = 200 * time.Millisecond
)

// serviceLoad holds what this node knows of the load of one service.
type serviceLoad struct {
	// hosts holds the last report of each host.
	hosts map[string]report
	// reportedAt is when a host last reported.
	reportedAt time.Duration
	// remoteLevel is the admission level last received through another service, and remoteLevelAt the time of receipt.
	remoteLevel   hornbeamcroft.AdmissionLevel
	remoteLevelAt time.Duration
}

// report is the load that a host reported, and the time of receipt.
type report struct {
	load       hornbeamcroft.Load
	reportedAt time.Duration
}

// addReport records the load that a host reported.
func (s *serviceLoad) addReport(now time.Duration, host string, l hornbeamcroft.Load) {
	if s.hosts == nil {
		s.hosts = make(map[string]report)
	}
	s.hosts[host] = report{load: l, reportedAt: now}
	s.reportedAt = now
}

// addRemoteLevel records an admission level that another node computed.
func (s *serviceLoad) addRemoteLevel(now time.Duration, level hornbeamcroft.AdmissionLevel) {
	s.remoteLevel, s.remoteLevelAt = level, now
}

// level returns the admission level of the service. It uses the hosts' reports to this node unless these are older
// than maxFreshAge and a newer level was received through another service.
func (s *serviceLoad) level(now time.Duration, service string) hornbeamcroft.AdmissionLevel {
	haveRemote := s.remoteLevelAt > 0 && now-s.remoteLevelAt < reportTTL
	if haveRemote && s.remoteLevelAt > s.reportedAt && now-s.reportedAt >= maxFreshAge {
		return s.remoteLevel
	}
	return s.reportedLevel(now, service)
}

// age returns the time since the newest information about the service.
func (s *serviceLoad) age(now time.Duration) time.Duration {
	return now - max(s.reportedAt, s.remoteLevelAt)
}

// reportedLevel returns the admission level that follows from the hosts' reports together. It assumes that hosts
// without a recent report are in the same state, except for hosts that are avoided because they fail: their capacity
// counts, and their demand does not, since the other hosts get it. A report of spare capacity counts for the service time
// of the host: with calls of seconds, answers are rarer than reportTTL, and the reports of one full host would decide alone.
func (s *serviceLoad) reportedLevel(now time.Duration, service string) hornbeamcroft.AdmissionLevel {
	var sum leveler.Leveler
	for host, r := range s.hosts {
		age := now - r.reportedAt
		switch {
		case age < reportTTL:
			sum.Add(r.load)
		case age < min(r.load.ServiceTime, avoidedReportTTL) && hasSpareCapacity(r.load):
			sum.Add(r.load)
		case age < avoidedReportTTL && r.load.FailureRatio >= avoidThreshold:
			sum.AddCapacity(r.load)
		default:
			delete(s.hosts, host)
		}
	}
	return sum.AdmissionLevel(service)
}

// hasSpareCapacity reports whether the capacity of the host exceeds its demand.
func hasSpareCapacity(l hornbeamcroft.Load) bool {
	spare := l.Capacity
	for _, n := range l.Demand {
		spare -= n
	}
	return spare > 0
}
