package agent

import (
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"hornbeamcroft"
	"hornbeamcroft/courier"
	"hornbeamcroft/recorder"
	"hornbeamcroft/runner"
)

// outcomeKind returns the kind of outcome by which the log lines of requests are rate-limited.
func outcomeKind(code hornbeamcroft.Code, status int, late bool) recorder.Kind {
	switch {
	case code.Claim() == hornbeamcroft.ClaimNotRun:
		return recorder.Refused
	case code == hornbeamcroft.CodeAnswered && status < 500 && late:
		return recorder.Late
	case code == hornbeamcroft.CodeAnswered && status < 500:
		return recorder.Served
	}
	return recorder.Failed
}

// recordRequest counts and logs a request that entered at this node.
func (a *Agent) recordRequest(r courier.Record) {
	a.metrics.countRequest(r.Route.Name, r.Call.Service, r.Code, r.Took)
	if !a.recorder.Allow(outcomeKind(r.Code, r.Status, r.Took > r.Route.Objective)) {
		return
	}
	line := a.Log.Info().Str("id", r.Call.Attempt).Str("route", r.Route.Name).Str("service", r.Call.Service).
		Int("depth", r.Call.Depth).Str("importance", r.Call.Importance.String()).Bool("idempotent", r.Call.Idempotent).
		Int64("routes-version", a.routesVersion()).Int64("remaining-ms", r.Call.Remaining.Milliseconds()).
		Str("hosts", strings.Join(r.Hosts, " ")).Str("codes", joinCodes(r.Codes))
	if r.Service != "" {
		line.Str("pressed", r.Service).Str("admits", formatLevel(r.Level)).Int64("level-age-ms", r.LevelAge.Milliseconds())
	}
	if r.Call.Tenant != "" {
		line.Str("tenant", r.Call.Tenant)
	}
	if r.Age > 0 {
		line.Int64("age-ms", r.Age.Milliseconds())
	}
	addOutcome(line, r.Code, r.Status, r.Took).Msg("courier: request")
}

// joinCodes returns the codes as one comma-separated text.
func joinCodes(list []hornbeamcroft.Code) string {
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.String()
	}
	return strings.Join(names, ", ")
}

// addOutcome adds the outcome of a request or call to its log line. A status of zero is left out.
func addOutcome(line *log.Entry, code hornbeamcroft.Code, status int, took time.Duration) *log.Entry {
	line.Str("code", code.String()).Int64("took-us", took.Microseconds())
	if status != 0 {
		line.Int("status", status)
	}
	return line
}

// recordRun counts and logs a call of the local upstream.
func (a *Agent) recordRun(r runner.Record) {
	a.metrics.countRun(r.Code, r.Waited, r.ServiceTime)
	if !a.recorder.Allow(outcomeKind(r.Code, r.Status, r.Waited+r.ServiceTime > r.Call.Objective)) {
		return
	}
	line := a.Log.Info().Str("id", r.Call.Attempt).Str("route", r.Call.Type).Str("instance", r.Instance).
		Int("depth", r.Call.Depth).Str("importance", r.Call.Importance.String()).
		Int64("waited-us", r.Waited.Microseconds()).Int("running", r.Load.Running).Int("waiting", r.Load.Waiting).
		Int("limit", r.Load.Limit).Int("failing", r.Load.FailureRatio).Str("admits", formatLevel(r.Level))
	if r.ServiceTime > 0 {
		line.Str("outcome", r.Outcome.String())
	}
	if r.Err != nil {
		line.Err(r.Err)
	}
	addOutcome(line, r.Code, r.Status, r.ServiceTime).Msg("runner: call")
}

// formatLevel formats an admission level: the lowest importance that is admitted and the share of its requests that is
// admitted, for example "normal 0.25".
func formatLevel(level hornbeamcroft.AdmissionLevel) string {
	share := float64(level.Threshold) / hornbeamcroft.ThresholdAll
	return level.Importance.String() + " " + strconv.FormatFloat(share, 'f', 2, 64)
}

// recordRejected counts and logs a request that was refused before its tenant was known.
func (a *Agent) recordRejected(attempt string, answer hornbeamcroft.Answer, err error) {
	a.recordTenantRejected(attempt, "", answer, err)
}

// recordTenantRejected counts and logs a request that was refused before it was sent. Tenant is the name of its tenant; empty if it has
// none or that is not known.
func (a *Agent) recordTenantRejected(attempt, tenant string, answer hornbeamcroft.Answer, err error) {
	a.metrics.count("requests/rejected/" + answer.Code.Info().Name)
	if !a.recorder.Allow(recorder.Refused) {
		return
	}
	line := a.Log.Info().Str("id", attempt).Str("code", answer.Code.String())
	if tenant != "" {
		line.Str("tenant", tenant)
	}
	line.Err(err).Msg("way-in: request rejected")
}

// recordUnrouted counts and logs a request that no route matches.
func (a *Agent) recordUnrouted(in hornbeamcroft.Incoming, r *activeRoutes, answer hornbeamcroft.Answer) {
	a.metrics.count("requests/rejected/" + answer.Code.Info().Name)
	if a.recorder.Allow(recorder.Refused) {
		a.Log.Info().Str("id", in.Attempt).Str("host", in.Message.Host).Str("target", in.Message.Target).
			Int64("routes-version", r.table.Version).Int64("routes-age-ms", time.Since(r.since).Milliseconds()).
			Str("routes-source", r.source).Str("code", answer.Code.String()).Msg("way-in: no route")
	}
}
