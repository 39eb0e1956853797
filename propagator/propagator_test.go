package propagator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func pressed(service string, threshold uint32) hornbeamcroft.AdmissionLevel {
	return hornbeamcroft.AdmissionLevel{Service: service, Importance: hornbeamcroft.ImportanceNormal, Threshold: threshold}
}

// TestExport guards against answers with more entries than the frame allows, with forged levels, and with entries that
// are less pressed than those left out.
func TestExport(t *testing.T) {
	is := is.New(t)
	var p Propagator
	for i := range 2 * maxServices {
		p.Observe(0, "", []hornbeamcroft.AdmissionLevel{pressed(fmt.Sprint(i), uint32(i))})
	}
	p.Observe(0, "", []hornbeamcroft.AdmissionLevel{{Service: "forged", Importance: 200}, {Service: "forged", Threshold: 1 << 20}})
	is.Equal(len(p.entries), maxServices)
	own := pressed("own", 60000)
	ps := p.Export(0, own)
	is.Equal(len(ps), MaxEntries)
	is.Equal(ps[0], own)
	for i, e := range ps[1:] {
		is.Equal(e.Service, fmt.Sprint(i)) // the lowest thresholds
	}
	is.Equal(len(p.Export(time.Minute, hornbeamcroft.AdmissionLevel{Threshold: hornbeamcroft.ThresholdAll})), 0)
	is.Equal(len(p.entries), 0) // forgotten after a minute
}

// TestAdmit guards against probes that are none or too many, and against a level that does not fade or end.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	var p Propagator
	for range 20 {
		p.Observe(0, "b", []hornbeamcroft.AdmissionLevel{pressed("b", 0)})
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
	path := []string{"order-desk", "cash-office"}
	low := p.Admit(0, rand.New(rand.NewPCG(1, 1)), path, hornbeamcroft.ImportanceLow, 60000)
	high := p.Admit(0, rand.New(rand.NewPCG(1, 1)), path, hornbeamcroft.ImportanceHigh, 60000)
	fmt.Println(low.Admitted, low.Service, high.Admitted)
	// Output: false cash-office true
}

func BenchmarkAdmit(b *testing.B) {
	b.ReportAllocs()
	rnd := rand.New(rand.NewPCG(1, 1))
	var p Propagator
	path := make([]string, 27)
	for i := range path {
		path[i] = fmt.Sprint("service-", i)
		p.Observe(0, path[i], []hornbeamcroft.AdmissionLevel{{Service: path[i], Threshold: 60000}})
	}
	for b.Loop() {
		p.Admit(0, rnd, path, hornbeamcroft.ImportanceLow, 100)
	}
}

func BenchmarkObserveExport(b *testing.B) {
	b.ReportAllocs()
	var p Propagator
	ps := []hornbeamcroft.AdmissionLevel{pressed("a", 1000), pressed("b", 2000)}
	for b.Loop() {
		p.Observe(0, "a", ps)
		p.Export(0, pressed("own", 3000))
	}
}
