package main

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"hornbeamcroft"
)

// writePlacement writes the decisions on a request as a table, and the candidates of each target as another one.
func writePlacement(w io.Writer, p hornbeamcroft.Placement) {
	writeLine(w, "node %s, zone %s, request for %s%s", p.Node, p.Zone, p.Request.Host, p.Request.Path)
	if r := p.Refused; r != nil {
		writeLine(w, "refused by %s: %d %s (%s)", r.Decision, int(r.Code), r.Name, r.Reason)
	}
	t := newTable(w, "decision", "result", "inputs", "age")
	writeRequestRows(t, p)
	writeServingRows(t, p)
	for _, target := range p.Targets {
		writeTargetRows(t, target)
	}
	t.Render()
	for _, target := range p.Targets {
		writeCandidates(w, target)
	}
}

// writeRequestRows adds the decisions on what the request is.
func writeRequestRows(t table.Writer, p hornbeamcroft.Placement) {
	if c := p.Configuration; c != nil {
		t.AppendRow([]any{"configuration", fmt.Sprintf("version %d", c.Version), "source " + c.Source, formatMs(c.AgeMs)})
	} else {
		t.AppendRow([]any{"configuration", "none", "", ""})
	}
	switch r := p.Route; {
	case r == nil:
		t.AppendRow([]any{"route", "none", "", ""})
	case r.Unreadable:
		t.AppendRow([]any{"route", "unreadable", r.Host + r.Prefix, ""})
	default:
		t.AppendRow([]any{"route", r.Name, fmt.Sprintf("%s%s, importance %s, timeout %s, objective %s, %s, %s, attempts %d", r.Host, r.Prefix,
			r.Importance, formatMs(r.TimeoutMs), formatMs(r.ObjectiveMs), choose(r.Idempotent, "idempotent", "not idempotent"),
			choose(r.Public, "public", "not public"), r.MaxAttempts), ""})
	}
	if n := p.Tenant; n != nil {
		t.AppendRow([]any{"tenant", cmp.Or(n.Name, "none"), fmt.Sprintf("%s, band %d, importance %s",
			choose(n.Required, "key needed", "no key needed"), n.Band, n.Importance), ""})
	}
	if f := p.Proof; f != nil {
		t.AppendRow([]any{
			"proof", choose(f.Proven, "proven", "not proven"), fmt.Sprintf("known key %s, unknown key %s",
				choose(f.KeyAccepted, "accepted", "refused with 503"), choose(f.UnknownKeyFinal, "refused with 401", "refused with 503")),
			formatAge(f.AgeMs),
		})
	}
}

// writeServingRows adds the decisions on whether the node serves the request.
func writeServingRows(t table.Writer, p hornbeamcroft.Placement) {
	if d := p.Time; d != nil {
		t.AppendRow([]any{"time", formatMs(d.RemainingMs) + " left", fmt.Sprintf("caller waited %s, objective in %s, %s",
			formatMs(d.WaitedMs), formatMs(d.ObjectiveMs), choose(d.CallerRetry, "caller's retry", "first attempt")), ""})
	}
	if s := p.Stop; s != nil {
		t.AppendRow([]any{"stop", choose(s.Taken, "taken", "refused"), choose(s.Stopping, "planned stop", "no planned stop"), ""})
	}
	q := p.Quota
	if q == nil {
		return
	}
	inputs := "no quota applies"
	if q.Limited {
		inputs = fmt.Sprintf("%d permits for %s, home %s (%s), %g per s, burst %g", q.Permits, formatMs(q.ExpireMs),
			cmp.Or(q.Home, "none"), choose(q.HomeLinked, "linked", "not linked"), q.Rate, q.Burst)
		if q.RetryAfterMs > 0 {
			inputs += ", retry after " + formatMs(q.RetryAfterMs)
		}
	}
	t.AppendRow([]any{"quota", choose(q.Verdict == "waiting", "asks the home", q.Verdict), inputs, formatAge(q.AnswerAgeMs)})
}

// writeTargetRows adds a target and the admission of requests for it.
func writeTargetRows(t table.Writer, target hornbeamcroft.PlacementTarget) {
	t.AppendRow([]any{"target", target.Service, fmt.Sprintf("weight %g, share %.2f%s%s", target.Weight, target.Share,
		choose(target.Next, ", gets the next request", ""), choose(target.InUse, "", ", no calls so far")), ""})
	a := target.Admission
	t.AppendRow([]any{"admission", fmt.Sprintf("%.2f admitted", a.Share), choose(a.Service == "", "not limited", "limited by "+a.Service), ""})
	for _, s := range a.Services {
		inputs := fmt.Sprintf("admits %.2f of %s, this importance %.2f, this tenant %.2f, hosts %d",
			float64(s.Threshold)/hornbeamcroft.ThresholdAll, s.Importance, s.LevelShare, s.TenantShare, s.Hosts)
		if s.Calls > 0 {
			inputs += fmt.Sprintf(", calls %.1f", s.Calls)
		}
		for _, l := range s.Limited {
			inputs += fmt.Sprintf(", limited %s %s to %.2f", l.Tenant, l.Importance, l.Share)
		}
		t.AppendRow([]any{"", "level of " + s.Service, inputs, formatAge(s.AgeMs)})
	}
}

// writeCandidates writes the candidates of a target, the cheapest first.
func writeCandidates(w io.Writer, target hornbeamcroft.PlacementTarget) {
	if len(target.Candidates) == 0 {
		writeLine(w, "candidates of %s: none known", target.Service)
		return
	}
	writeLine(w, "candidates of %s, the cheapest first:", target.Service)
	t := newTable(w, "host", "zone", "state", "link", "cost", "zone cost", "busy/limit", "outstanding", "sent since", "running", "waiting",
		"limit", "service time", "failures", "report age", "left out")
	for _, c := range target.Candidates {
		row := []any{
			c.Name, c.Zone, c.State, choose(c.Linked, "yes", "no"), formatUs(c.CostUs), formatUs(c.ZoneCostUs),
			fmt.Sprintf("%d/%d", c.Busy, c.Limit), c.Outstanding, c.SentSinceReport,
		}
		if r := c.Report; r != nil {
			row = append(row, r.Running, r.Waiting, r.Limit, formatUs(r.ServiceTimeUs), fmt.Sprintf("%.3f", r.FailureRatio),
				formatMs(r.AgeMs)+choose(r.Counts, "", " (too old)"))
		} else {
			row = append(row, "", "", "", "", "", "no report")
		}
		t.AppendRow(append(row, c.LeftOut))
	}
	t.Render()
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func formatMs(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func formatUs(us int64) string {
	return strings.Replace((time.Duration(us) * time.Microsecond).String(), "µ", "u", 1)
}

// formatAge returns an age, or "none" if there is no information.
func formatAge(ms *int64) string {
	if ms == nil {
		return "none"
	}
	return formatMs(*ms)
}
