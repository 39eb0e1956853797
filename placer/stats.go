package placer

import (
	"time"

	"hornbeamcroft"
)

// AgeBounds are the bounds of the classes of Stats.ByAge.
var AgeBounds = [...]time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second}

// Stats describes the choices of a Placer.
type Stats struct {
	// ByAge counts the calls by the age of the report of the chosen member. Class i holds ages below AgeBounds[i], the last
	// class all others and members without a report.
	ByAge [len(AgeBounds) + 1]int64
	// OtherZone counts the calls sent to other zones, and Again those placed again after other members were excluded.
	OtherZone, Again int64
	// Spread is the greatest reported used share of the slots, with waiting calls, divided by the mean of the members with a
	// report younger than the last of AgeBounds; zero if there is none or all are idle.
	Spread float64
}

// Stats returns the choices since the Placer was created, and the spread at now.
func (p *Placer) Stats(now time.Duration) Stats {
	s := p.stats
	n, sum, greatest := 0, 0.0, 0.0
	for _, m := range p.members {
		if m.reportedAt == 0 || now-m.reportedAt >= AgeBounds[len(AgeBounds)-1] {
			continue
		}
		used := float64(m.load.Running+m.load.Waiting) / float64(max(m.load.Limit, 1))
		n, sum, greatest = n+1, sum+used, max(greatest, used)
	}
	if sum > 0 {
		s.Spread = greatest * float64(n) / sum
	}
	return s
}

// place counts a call that is placed at the member, and returns the member.
func (p *Placer) place(now time.Duration, m *member) hornbeamcroft.Member {
	class := 0
	for class < len(AgeBounds) && (m.reportedAt == 0 || now-m.reportedAt >= AgeBounds[class]) {
		class++
	}
	p.stats.ByAge[class]++
	if !m.local {
		p.stats.OtherZone++
	}
	if p.excluded > 0 {
		p.stats.Again++
	}
	return m.Member
}
