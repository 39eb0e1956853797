package borrower

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/scripter"
)

// scenario runs the lines of one file. The tenant gold has a quota, and its home is "home".
type scenario struct {
	now time.Duration
	b   Borrower
	// asked holds the times of asking, the last one at the end.
	asked []time.Duration
	// epoch is that of the last permit.
	epoch time.Duration
}

// TestScenarios guards against requests that are decided too late, on permits that have ended or were given back, or with the wrong
// retry delay, and against requests for permits that are lost, too many or too late.
func TestScenarios(t *testing.T) {
	scripter.Scripter{New: func(*testing.T) func(*testing.T, []string) string {
		s := &scenario{b: Borrower{Home: func(string) string { return "home" }}, asked: []time.Duration{0}}
		s.b.SetTenants(0, []hornbeamcroft.Tenant{{Name: "gold", Quota: hornbeamcroft.Quota{Rate: 1}}, {Name: "free"}})
		return s.step
	}}.Run(t)
}

func duration(t *testing.T, word string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(word)
	is.New(t).NoErr(err)
	return d
}

var verdicts = map[Verdict]string{Admitted: "admitted", Exceeded: "exceeded", Undecided: "undecided", Waiting: "waiting"}

// step runs one line and returns what it shows.
func (s *scenario) step(t *testing.T, words []string) string {
	switch words[0] {
	case "at":
		s.now = duration(t, words[1])
		return ""
	case "take":
		d := s.take(t, words[1])
		s.keepEpoch([]Decision{d})
		d.ID = 0
		return show([]Decision{d})
	case "giveback": // the last permit
		return show(s.b.GiveBack(s.now, words[1], s.epoch))
	case "takes": // TENANT INTERVAL END: requests with an interval until END, of which none may wait
		n := 0
		for end := duration(t, words[3]); s.now < end; s.now += duration(t, words[2]) {
			if s.b.Take(s.now, words[1]).Verdict == Admitted {
				n++
			}
		}
		return fmt.Sprintf("%d admitted", n)
	case "tick":
		return show(s.b.Tick(s.now))
	case "due":
		return s.due()
	case "grant", "old": // old answers the request before the last one
		asked := s.asked[len(s.asked)-1]
		if words[0] == "old" {
			asked = s.asked[len(s.asked)-2]
		}
		p := hornbeamcroft.Permits{Tenant: words[1], Life: hornbeamcroft.MaxPermitLife}
		for _, word := range words[2:] {
			switch name, value, _ := strings.Cut(word, "="); name {
			case "undecided":
				p.Undecided = true
			case "limit":
				_, _ = fmt.Sscan(value, &p.Limit)
			case "share":
				_, _ = fmt.Sscan(value, &p.Share)
			case "retry":
				p.Retry = duration(t, value)
			}
		}
		decided := s.b.Receive(s.now, "home", hornbeamcroft.PermitGrant{Asked: asked, Permits: []hornbeamcroft.Permits{p}})
		s.keepEpoch(decided)
		return show(decided)
	}
	t.Fatal(words)
	return ""
}

// keepEpoch keeps the epoch of the last permit among the decisions.
func (s *scenario) keepEpoch(decided []Decision) {
	for _, d := range decided {
		if d.Verdict == Admitted {
			s.epoch = d.PermitEpoch
		}
	}
}

func (s *scenario) due() string {
	var text []string
	for _, m := range s.b.Due(s.now) {
		s.asked = append(s.asked, m.Request.Asked)
		for _, d := range m.Request.Demands {
			limit := ""
			if d.Limit != hornbeamcroft.PermitsKept {
				limit = fmt.Sprintf(" limit=%d", d.Limit)
			}
			text = append(text, fmt.Sprintf("%s: %s used=%d%s want=%d", m.Home, d.Tenant, d.Used, limit, d.Want))
		}
	}
	if len(text) == 0 {
		return "none"
	}
	return strings.Join(text, ", ")
}

func show(decisions []Decision) string {
	var text []string
	for _, d := range decisions {
		s := verdicts[d.Verdict]
		if d.ID > 0 {
			s = fmt.Sprintf("%d %s", d.ID, s)
		}
		if d.RetryAfter > 0 {
			s += " " + d.RetryAfter.String()
		}
		text = append(text, s)
	}
	if len(text) == 0 {
		return "none"
	}
	return strings.Join(text, ", ")
}
