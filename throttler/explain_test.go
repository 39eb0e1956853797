package throttler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestExplain guards against an explanation that differs from the part of the requests that Admit admits, that does not name the
// limiting service, or that drops reports.
func TestExplain(t *testing.T) {
	const now = reportTTL + 20*time.Millisecond
	limited := loadAdmitting(1)
	limited.Shares = []hornbeamcroft.TenantShare{{Tenant: "hot", Importance: normal, Keep: 300}}
	q := Request{Route: "r", Service: "front", Importance: normal}
	retry, hot, important := q, q, q
	retry.CallerRetry, hot.Tenant, important.Importance = true, "hot", critical
	for name, c := range map[string]struct {
		request     Request
		front, deep *hornbeamcroft.Load
		share       float64
		service     string
	}{
		"unknown":        {q, nil, nil, 1, ""},
		"level":          {q, loadAdmitting(0.8), loadAdmitting(0.4), 0.4, "deep"},
		"caller's retry": {retry, loadAdmitting(1), loadAdmitting(0.4), 0.8, "deep"},
		"important":      {important, loadAdmitting(1), loadAdmitting(0.4), 1, ""},
		"tenant":         {hot, limited, loadAdmitting(0.5), 0.15, "front"},
		"other tenant":   {q, limited, loadAdmitting(0.5), 0.5, "deep"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var th Throttler
			th.Observe(0, Source{Route: "r", Service: "front", Host: "f"}, hornbeamcroft.Answer{
				Code: hornbeamcroft.CodeAnswered, Status: 200, ServiceCalls: []hornbeamcroft.ServiceCalls{{Service: "deep", Calls: 4}},
			})
			th.Observe(0, Source{Route: "x", Service: "deep", Host: "old"}, hornbeamcroft.Answer{Load: loadAdmitting(0.9)})
			if c.front != nil {
				th.Observe(now-time.Millisecond, Source{Route: "r", Service: "front", Host: "f"}, hornbeamcroft.Answer{Load: c.front})
				th.Observe(now-time.Millisecond, Source{Route: "x", Service: "deep", Host: "d"}, hornbeamcroft.Answer{Load: c.deep})
			}
			hosts := len(th.loads["deep"].hosts)
			e := th.Explain(now, c.request)
			is.True(near(e.Share, c.share))
			is.Equal(e.Service, c.service)
			is.Equal(len(e.Services), 2)
			is.Equal(e.Services[0].Service, "front")
			is.Equal(e.Services[1].Calls, 4.0)
			is.Equal(len(th.loads["deep"].hosts), hosts)
			share, _ := admitted(&th, now, c.request)
			is.True(near(e.Share, share))
		})
	}
}
