package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newEjector(n int) *Ejector {
	e := &Ejector{}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	e.Update(names)
	return e
}

func recordFailures(e *Ejector, now time.Duration, name string, n int) {
	for range n {
		e.Record(now, name, true)
	}
}

// TestCap guards against a failure common to all upstreams that ejects most of them, and against more ejected upstreams
// than the maximum share after others have left.
func TestCap(t *testing.T) {
	for _, c := range []struct{ n, most int }{{1, 0}, {2, 0}, {3, 1}, {4, 1}, {6, 2}, {9, 3}} {
		is := is.New(t)
		e := newEjector(c.n)
		for i := range c.n {
			recordFailures(e, 0, fmt.Sprint(i), 50)
		}
		is.Equal(e.Count(), c.most)
		e.Update([]string{"0", "1", "2"})
		is.True(e.Count() <= 1)
	}
}

// TestRate guards against an upstream with a high error rate that is never ejected because some of its calls succeed,
// so that it never fails often enough in a row.
func TestRate(t *testing.T) {
	is := is.New(t)
	e := newEjector(4)
	for i := range 100 {
		now := time.Duration(i) * 10 * time.Millisecond
		e.Record(now, "0", i%4 != 0)
		e.Record(now, "1", i%4 == 0) // 25 % does not exceed the margin over the others
		e.Record(now, "2", false)
		e.Record(now, "3", false)
	}
	is.True(e.Ejected(time.Second, "0"))
	is.True(!e.Ejected(time.Second, "1"))
}

// TestTrial guards against an upstream that stays ejected after it has recovered, and against a failing one that is
// tried too often.
func TestTrial(t *testing.T) {
	is := is.New(t)
	e := newEjector(4)
	recordFailures(e, 0, "0", ejectAfterFailures)
	is.True(e.Ejected(baseEjectionTime-1, "0"))
	e.Record(time.Second, "0", false) // the call began before the ejection
	is.True(e.Ejected(baseEjectionTime-1, "0"))
	is.True(e.TrialDue(baseEjectionTime, "0"))
	recordFailures(e, baseEjectionTime, "0", 1)
	is.True(e.Ejected(3*baseEjectionTime-1, "0")) // the second ejection lasts twice as long
	is.True(e.TrialDue(3*baseEjectionTime, "0"))
	e.Record(3*baseEjectionTime, "0", false)
	is.Equal(e.Count(), 0)
	is.True(!e.Ejected(3*baseEjectionTime, "0"))
}

// TestLongEjections guards against an upstream that fails each trial and is nevertheless tried more often than once in
// maxEjectionTime, and against one that stays at that time although it has worked for long.
func TestLongEjections(t *testing.T) {
	is := is.New(t)
	e := newEjector(4)
	recordFailures(e, 0, "0", ejectAfterFailures)
	now := time.Duration(0)
	for want := baseEjectionTime; want < 4*maxEjectionTime; want *= 2 {
		d := min(want, maxEjectionTime)
		is.True(e.Ejected(now+d-1, "0"))
		is.True(e.TrialDue(now+d, "0"))
		now += d
		e.Record(now, "0", true)
	}
	now += maxEjectionTime
	e.Record(now, "0", false)
	now += 10 * levelDecayTime
	recordFailures(e, now, "0", ejectAfterFailures)
	is.True(e.TrialDue(now+baseEjectionTime, "0"))
}

func ExampleEjector() {
	e := Ejector{}
	e.Update([]string{"stock-1", "stock-2", "stock-3"})
	for range 5 {
		e.Record(0, "stock-2", true)
	}
	fmt.Println(e.Ejected(time.Second, "stock-2"), e.TrialDue(5*time.Second, "stock-2"))
	// Output: true true
}

func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	e := newEjector(22)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		e.Record(now, "7", false)
	}
}
