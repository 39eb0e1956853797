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

// kindOf returns the kind of outcome for the log.
func kindOf(code hornbeamcroft.Code, status int, late bool) recorder.Kind {
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

// recordRequest logs and counts a request that entered here.
func (a *Agent) recordRequest(r courier.Record) {
	a.metrics.request(r.Route.Name, r.Call.Service, r.Code, r.Took)
	if !a.recorder.Allow(kindOf(r.Code, r.Status, r.Took > r.Route.Objective)) {
		return
	}
	line := a.Log.Info().Str("id", r.Call.Attempt).Str("route", r.Route.Name).Str("service", r.Call.Service).
		Int("depth", r.Call.Depth).Str("importance", r.Call.Importance.String()).Bool("idempotent", r.Call.Idempotent).
		Int64("routes-version", a.routesVersion()).Int64("remaining-ms", r.Call.Remaining.Milliseconds()).
		Str("hosts", strings.Join(r.Hosts, " ")).Str("codes", codes(r.Codes))
	if r.Service != "" {
		line.Str("pressed", r.Service).Str("admits", level(r.Level)).Int64("level-age-ms", r.LevelAge.Milliseconds())
	}
	if r.Age > 0 {
		line.Int64("age-ms", r.Age.Milliseconds())
	}
	end(line, r.Code, r.Status, r.Took).Msg("courier: request")
}

func codes(list []hornbeamcroft.Code) string {
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.String()
	}
	return strings.Join(names, ", ")
}

func end(line *log.Entry, code hornbeamcroft.Code, status int, took time.Duration) *log.Entry {
	line.Str("code", code.String()).Int64("took-us", took.Microseconds())
	if status != 0 {
		line.Int("status", status)
	}
	return line
}

// recordRun logs and counts a call at the own upstream.
func (a *Agent) recordRun(r runner.Record) {
	a.metrics.run(r.Code, r.Waited, r.Held)
	if !a.recorder.Allow(kindOf(r.Code, r.Status, r.Waited+r.Held > r.Call.Objective)) {
		return
	}
	line := a.Log.Info().Str("id", r.Call.Attempt).Str("route", r.Call.Type).Str("instance", r.Instance).
		Int("depth", r.Call.Depth).Str("importance", r.Call.Importance.String()).
		Int64("waited-us", r.Waited.Microseconds()).Int("running", r.Load.Running).Int("waiting", r.Load.Waiting).
		Int("limit", r.Load.Limit).Int("failing", r.Load.Failing).Str("admits", level(r.Level))
	if r.Held > 0 {
		line.Str("outcome", r.Outcome.String())
	}
	if r.Err != nil {
		line.Err(r.Err)
	}
	end(line, r.Code, r.Status, r.Held).Msg("runner: call")
}

// level returns the least important requests that are admitted, and the share of them.
func level(p hornbeamcroft.Pressure) string {
	share := float64(p.Threshold) / hornbeamcroft.ThresholdAll
	return p.Importance.String() + " " + strconv.FormatFloat(share, 'f', 2, 64)
}

// recordRejected logs a request that was refused before its route was looked up.
func (a *Agent) recordRejected(attempt string, answer hornbeamcroft.Answer, err error) {
	a.metrics.count("requests/rejected/" + answer.Code.Info().Name)
	if a.recorder.Allow(recorder.Refused) {
		a.Log.Info().Str("id", attempt).Str("code", answer.Code.String()).Err(err).Msg("way-in: request rejected")
	}
}

// recordUnrouted logs a request that no route matches.
func (a *Agent) recordUnrouted(in hornbeamcroft.Incoming, r *routing, answer hornbeamcroft.Answer) {
	a.metrics.count("requests/rejected/" + answer.Code.Info().Name)
	if a.recorder.Allow(recorder.Refused) {
		a.Log.Info().Str("id", in.Attempt).Str("host", in.Message.Host).Str("target", in.Message.Target).
			Int64("routes-version", r.table.Version).Int64("routes-age-ms", time.Since(r.since).Milliseconds()).
			Str("routes-source", r.source).Str("code", answer.Code.String()).Msg("way-in: no route")
	}
}
