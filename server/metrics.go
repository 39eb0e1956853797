package server

import (
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"hornbeamcroft"
)

// reservoirSize bounds the samples that a latency histogram keeps.
const reservoirSize = 1028

// metricSet is the node's metrics.
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

// answered counts a finished request of an outside caller.
func (m *metricSet) answered(_ hornbeamcroft.Call, a hornbeamcroft.Answer, took time.Duration) {
	m.latency.Update(took.Microseconds())
	metrics.GetOrRegisterCounter("answers-"+strconv.Itoa(int(a.Code)), m.registry).Inc(1)
}

func (m *metricSet) set(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(v)
}

// collect reads the values that other parts keep.
func (m *metricSet) collect(s *Server) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	m.set("memory-heap-bytes", int64(mem.HeapAlloc))
	m.set("memory-system-bytes", int64(mem.Sys))
	m.set("goroutines", int64(runtime.NumGoroutine()))
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
		m.set("processor-us", (use.Utime.Nano()+use.Stime.Nano())/1000)
	}
	m.set("links-open", int64(s.links.Count()))
	m.set("links-opened", s.links.Opened.Load())
	m.set("links-silent", s.links.ClosedSilent.Load())
	m.set("late-answers", s.links.LateAnswers.Load())
	m.set("link-bytes-in", s.links.BytesIn.Load())
	m.set("link-bytes-out", s.links.BytesOut.Load())
	m.set("control-bytes-in", s.links.ControlIn.Load())
	m.set("control-bytes-out", s.links.ControlOut.Load())
	m.set("calls-running", int64(s.calls.Len()))
	if doc := s.document.Load(); doc != nil {
		m.set("document-revision", int64(doc.Revision))
	}
}
