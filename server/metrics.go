package server

import (
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"hornbeamcroft"
)

// reservoirSize is the maximum number of samples that a latency histogram keeps.
const reservoirSize = 1028

// metricSet holds the node's metrics. The latency is that of requests of external callers, in microseconds.
type metricSet struct {
	registry metrics.Registry
	latency  metrics.Histogram
}

func newMetricSet() *metricSet {
	m := &metricSet{registry: metrics.NewRegistry()}
	m.latency = metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, 0.015))
	_ = m.registry.Register("request-latency-us", m.latency)
	return m
}

// recordAnswer records the latency of a finished request of an external caller and counts the request by its answer's
// code.
func (m *metricSet) recordAnswer(_ hornbeamcroft.Call, a hornbeamcroft.Answer, latency time.Duration) {
	m.latency.Update(latency.Microseconds())
	metrics.GetOrRegisterCounter("answers-"+strconv.Itoa(int(a.Code)), m.registry).Inc(1)
}

func (m *metricSet) setGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(v)
}

// collect sets the gauges whose values the Go runtime, the operating system and other components of the node keep.
func (m *metricSet) collect(s *Server) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	m.setGauge("memory-heap-bytes", int64(mem.HeapAlloc))
	m.setGauge("memory-system-bytes", int64(mem.Sys))
	m.setGauge("goroutines", int64(runtime.NumGoroutine()))
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		m.setGauge("processor-us", (usage.Utime.Nano()+usage.Stime.Nano())/1000)
	}
	m.setGauge("links-open", int64(s.links.Count()))
	m.setGauge("links-opened", s.links.Opened.Load())
	m.setGauge("links-silent", s.links.ClosedSilent.Load())
	m.setGauge("late-answers", s.links.LateAnswers.Load())
	m.setGauge("link-bytes-in", s.links.BytesIn.Load())
	m.setGauge("link-bytes-out", s.links.BytesOut.Load())
	m.setGauge("control-bytes-in", s.links.ControlIn.Load())
	m.setGauge("control-bytes-out", s.links.ControlOut.Load())
	m.setGauge("calls-running", int64(s.calls.Len()))
	if doc := s.document.Load(); doc != nil {
		m.setGauge("document-revision", int64(doc.Revision))
	}
}
