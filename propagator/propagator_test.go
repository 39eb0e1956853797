package propagator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func shedding(service string, threshold uint32) hornbeamcroft.AdmissionLevel {
	return hornbeamcroft.AdmissionLevel{Service: service, Importance: hornbeamcroft.ImportanceNormal, Threshold: threshold}
}

// TestExport guards against an export of more levels than an answer may hold, of levels that are out of range, and of
// levels that shed fewer requests than those that are left out.
func TestExport(t *testing.T) {
	is := is.New(t)
	var p Propagator
	for i := range 2 * maxServices {
		p.Observe(0, "", []hornbeamcroft.AdmissionLevel{shedding(fmt.Sprint(i), uint32(i))})
	}
	p.Observe(0, "", []hornbeamcroft.AdmissionLevel{{Service: "forged", Importance: 200}, {Service: "forged", Threshold: 1 << 20}})
	is.Equal(len(p.entries), maxServices)
	own := shedding("own", 60000)
	levels := p.Export(0, own)
	is.Equal(len(levels), MaxEntries)
	is.Equal(levels[0], own)
	for i, e := range levels[1:] {
		is.Equal(e.Service, fmt.Sprint(i)) // the lowest thresholds
	}
	is.Equal(len(p.Export(time.Minute, hornbeamcroft.AdmissionLevel{Threshold: hornbeamcroft.ThresholdAll})), 0)
	is.Equal(len(p.entries), 0) // all entries have decayed after a minute
}

// TestAdmit guards against a share of probes that is zero or too large, and against a level that stays in force
// although it is old or the service no longer reports it.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	var p Propagator
	for range 20 {
		p.Observe(0, "b", []hornbeamcroft.AdmissionLevel{shedding("b", 0)})
	}
	probes := 0
	for range 10_000 {
		if v := p.Admit(0, rnd, []string{"a", "b"}, hornbeamcroft.ImportanceLow, 0); v.Admitted {
			is.True(v.Probe)
			probes++
		}
	}
	is.True(probes > 50 && probes < 200)
	is.True(p.Admit(0, rnd, []string{"a"}, hornbeamcroft.ImportanceLow, 0).Admitted)
	is.True(p.Admit(0, rnd, []string{"b"}, hornbeamcroft.ImportanceHigh, 0).Admitted)
	is.True(p.Admit(10*time.Second, rnd, []string{"b"}, hornbeamcroft.ImportanceLow, 65000).Admitted)
	for range 30 {
		p.Observe(0, "b", nil)
	}
	is.True(p.Admit(0, rnd, []string{"b"}, hornbeamcroft.ImportanceLow, 65535).Admitted)
}

func ExamplePropagator() {
	p := Propagator{ProbeShare: -1}
	level := hornbeamcroft.AdmissionLevel{Service: "cash-office", Importance: hornbeamcroft.ImportanceNormal, Threshold: 65536}
	for range 10 {
		p.Observe(0, "order-desk", []hornbeamcroft.AdmissionLevel{level})
	}
	services := []string{"order-desk", "cash-office"}
	low := p.Admit(0, rand.New(rand.NewPCG(1, 1)), services, hornbeamcroft.ImportanceLow, 60000)
	high := p.Admit(0, rand.New(rand.NewPCG(1, 1)), services, hornbeamcroft.ImportanceHigh, 60000)
	fmt.Println(low.Admitted, low.Service, high.Admitted)
	// Output: false cash-office true
}

func BenchmarkAdmit(b *testing.B) {
	b.ReportAllocs()
	rnd := rand.New(rand.NewPCG(1, 1))
	var p Propagator
	services := make([]string, 27)
	for i := range services {
		services[i] = fmt.Sprint("service-", i)
		p.Observe(0, services[i], []hornbeamcroft.AdmissionLevel{{Service: services[i], Threshold: 60000}})
	}
	for b.Loop() {
		p.Admit(0, rnd, services, hornbeamcroft.ImportanceLow, 100)
	}
}

func BenchmarkObserveExport(b *testing.B) {
	b.ReportAllocs()
	var p Propagator
	levels := []hornbeamcroft.AdmissionLevel{shedding("a", 1000), shedding("b", 2000)}
	for b.Loop() {
		p.Observe(0, "a", levels)
		p.Export(0, shedding("own", 3000))
	}
}
