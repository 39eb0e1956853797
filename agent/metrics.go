package agent

import (
	"fmt"
	"io"
	"runtime"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"hornbeamcroft"
)

// Parameters of the exponentially decaying reservoirs behind the latency histograms.
const (
	// reservoirSize is the number of samples that a histogram keeps.
	reservoirSize = 512
	// reservoirDecay is the decay constant per second: the larger it is, the faster old samples lose weight.
	reservoirDecay = 0.015
)

// metricSet holds the counters and histograms of the node.
type metricSet struct {
	registry metrics.Registry
}

func newMetricSet() *metricSet { return &metricSet{registry: metrics.NewRegistry()} }

// countRequest counts a request that entered at this node, and adds its latency to the histogram of the route.
func (m *metricSet) countRequest(route, service string, code hornbeamcroft.Code, took time.Duration) {
	m.count("requests/" + route + "/" + service + "/" + strconv.Itoa(int(code)))
	m.latency("request-us/"+route, took)
}

// countRun counts a call of the local upstream, and adds the time that it waited for a slot and the time that it occupied one
// to the histograms.
func (m *metricSet) countRun(code hornbeamcroft.Code, waited, serviceTime time.Duration) {
	m.count("runs/" + strconv.Itoa(int(code)))
	m.latency("run-wait-us", waited)
	m.latency("run-hold-us", serviceTime)
}

func (m *metricSet) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

func (m *metricSet) latency(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirDecay))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

func (m *metricSet) gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(v)
}

// collect sets the gauges from the values that other components keep.
func (a *Agent) collect() {
	m := a.metrics
	l := a.runner.Load()
	m.gauge("upstream/running", int64(l.Running))
	m.gauge("upstream/waiting", int64(l.Waiting))
	m.gauge("upstream/limit", int64(l.Limit))
	m.gauge("upstream/hold-us", l.ServiceTime.Microseconds())
	m.gauge("upstream/failing-thousandths", int64(l.FailureRatio))
	m.gauge("upstream/limited-tenants", int64(len(l.Shares)))
	sends, resends := a.runner.Sends()
	m.gauge("upstream/sends", sends)
	m.gauge("upstream/repeats", resends)
	m.gauge("upstream/grants-beside-run", a.runner.GrantsBesideRun())
	m.gauge("upstream/rate-limit-thousandths", rateLimitThousandths(a.runner.Upstream().Statement))
	open, idle := a.exchanger.Counts()
	m.gauge("upstream/connections-open", int64(open))
	m.gauge("upstream/connections-idle", int64(idle))
	m.gauge("upstream/connections-opened", a.exchanger.Opened.Load())
	m.gauge("links/open", int64(a.links.Count()))
	m.gauge("links/opened", a.links.Opened.Load())
	m.gauge("links/silent", a.links.ClosedSilent.Load())
	m.gauge("links/late-answers", a.links.LateAnswers.Load())
	m.gauge("links/bytes-in", a.links.BytesIn.Load())
	m.gauge("links/bytes-out", a.links.BytesOut.Load())
	a.collectConnections()
	m.gauge("way-in/body-bytes", a.bodies.Reserved())
	m.gauge("bodies/refused", a.bodies.Refused())
	outcomes := a.recaller.Stats()
	m.gauge("outcomes/calls", int64(outcomes.Calls))
	m.gauge("outcomes/kept-bytes", int64(outcomes.Bytes))
	m.gauge("outcomes/evicted-answers", outcomes.Evicted)
	m.gauge("process/goroutines", int64(runtime.NumGoroutine()))
	if r := a.routes.Load(); r != nil {
		m.gauge("routes/version", r.table.Version)
		m.gauge("routes/age-ms", time.Since(r.since).Milliseconds())
		m.gauge("routes/problems", int64(len(r.table.Problems)))
	}
	a.membersMu.Lock()
	m.gauge("members/known", int64(len(a.locator.Members())))
	a.membersMu.Unlock()
	m.gauge("repeats-to-grant", int64(a.runner.RetriesLeft()))
	for service, left := range a.courier.RetriesLeft() {
		m.gauge("repeats-left/"+service, int64(left))
	}
	a.collectPlacements()
	for kind, n := range a.recorder.Omitted() {
		m.gauge("log/omitted/"+kind, n)
	}
	a.collectStore()
	a.collectProof()
	a.collectQuotas()
}

// collectPlacements sets the gauges that show, by service, how old the reports were by which calls were placed, and how
// evenly the members are loaded.
func (a *Agent) collectPlacements() {
	for service, s := range a.courier.Placements() {
		prefix := "placed/" + service + "/"
		for i, class := range [...]string{"report-100ms", "report-300ms", "report-1s", "report-older"} {
			a.metrics.gauge(prefix+class, s.ByAge[i])
		}
		a.metrics.gauge(prefix+"other-zone", s.OtherZone)
		a.metrics.gauge(prefix+"again", s.Again)
		a.metrics.gauge(prefix+"spread-thousandths", int64(s.Spread*thousandths))
	}
}

// thousandths converts a ratio to the unit of gauges whose names end in "-thousandths".
const thousandths = 1000

// collectStore sets the gauges for the calls to the store, by kind of call.
func (a *Agent) collectStore() {
	a.metrics.gauge("store/era", a.store.Era())
	calls := a.store.Calls.Snapshot()
	for i, kind := range [...]string{"reads", "stale-reads", "watches", "writes", "leases", "renewals", "failures"} {
		a.metrics.gauge("store/"+kind, calls[i])
	}
}

// writeMetrics writes each metric as a line with its name and value. Histograms are in microseconds.
func (a *Agent) writeMetrics(w io.Writer) {
	a.collect()
	a.metrics.registry.Each(func(name string, v any) {
		switch m := v.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			q := s.Percentiles([]float64{0.5, 0.9, 0.99})
			_, _ = fmt.Fprintf(w, "%s count=%d p50=%.0f p90=%.0f p99=%.0f max=%d\n", name, s.Count(), q[0], q[1], q[2], s.Max())
		}
	})
}

// noRateLimit is the value of the rate limit metric while the upstream states none.
const noRateLimit = -1

// rateLimitThousandths returns the stated rate limit in thousandths of a call per second, or noRateLimit.
func rateLimitThousandths(s hornbeamcroft.Statement) int64 {
	if !s.Limited {
		return noRateLimit
	}
	return int64(s.RateLimit * thousandths)
}
