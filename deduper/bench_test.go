package deduper

import (
	"runtime"
	"testing"

	"github.com/google/uuid"

	"hornbeamcroft"
)

// BenchmarkArriveFinish measures one key from its arrival to its recorded answer of 200 bytes.
func BenchmarkArriveFinish(b *testing.B) {
	d, body := Deduper{MaxRecords: 1 << 30, MaxBytes: 1 << 40}, make([]byte, 200)
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = uuid.NewString()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, key := range keys {
		d.Arrive(0, 5000, Arrival{Key: key, ReceivedAt: 5000, Serve: true})
		d.Finish(0, 5000, key, hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Body: body}, true)
	}
}

// BenchmarkRecordMemory reports the measured and the estimated bytes of a record without an answer body.
func BenchmarkRecordMemory(b *testing.B) {
	const n = 100_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := Deduper{MaxRecords: n, MaxBytes: 1 << 40}
		for range n {
			key := uuid.NewString()
			d.Arrive(0, 5000, Arrival{Key: key, ReceivedAt: 5000, Serve: true})
			d.Finish(0, 5000, key, hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered}, true)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/record")
		b.ReportMetric(float64(d.Stats().Bytes)/n, "estimated-B/record")
		runtime.KeepAlive(&d)
	}
}
