package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func members(n int) []hornbeamcroft.Member {
	ms := make([]hornbeamcroft.Member, n)
	for i := range ms {
		ms[i] = hornbeamcroft.Member{
			Name: fmt.Sprint(i), Zone: "a", Incarnation: 1, State: hornbeamcroft.MemberServing, SinceStart: 60_000,
		}
	}
	return ms
}

func finishCall(b *Balancer, now time.Duration, name string, took time.Duration, o hornbeamcroft.Outcome) {
	b.Start(now, name)
	b.Finish(now, name, took, o)
}

// TestPick guards against calls to members that must not get any, and against a pick that fails although a usable
// member is left.
func TestPick(t *testing.T) {
	only := func(names ...string) func(string) bool {
		return func(name string) bool {
			for _, n := range names {
				if n == name {
					return false
				}
			}
			return true
		}
	}
	for _, c := range []struct {
		name    string
		change  func(ms []hornbeamcroft.Member)
		exclude func(string) bool
		want    string
	}{
		{name: "excluded", exclude: only("1"), want: "1"},
		{name: "draining", change: func(ms []hornbeamcroft.Member) { ms[1].State = hornbeamcroft.MemberDraining }, exclude: only("1")},
		{name: "starting", change: func(ms []hornbeamcroft.Member) { ms[1].State = hornbeamcroft.MemberStarting }, exclude: only("1")},
		{name: "ejected", exclude: only("0", "1"), want: "1"},
		{name: "only an ejected one left", exclude: only("0"), want: "0"},
		{name: "none", exclude: only()},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := Balancer{Zone: "a"}
			ms := members(4)
			if c.change != nil {
				c.change(ms)
			}
			b.Update(0, ms)
			for range 5 {
				finishCall(&b, 0, "0", time.Millisecond, hornbeamcroft.OutcomeFailure)
			}
			name, ok := b.Pick(time.Second, rand.New(rand.NewPCG(1, 1)), c.exclude)
			is.Equal(name, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

// TestTrialOnce guards against a burst of calls to an upstream whose ejection time has passed: it gets one trial call
// first.
func TestTrialOnce(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	b := Balancer{Zone: "a"}
	b.Update(0, members(4))
	for range 5 {
		finishCall(&b, 0, "0", time.Millisecond, hornbeamcroft.OutcomeFailure)
	}
	name, _ := b.Pick(6*time.Second, rnd, nil)
	is.Equal(name, "0")
	b.Start(6*time.Second, name)
	for range 20 {
		next, _ := b.Pick(6*time.Second, rnd, nil)
		is.True(next != "0")
	}
	b.Finish(6*time.Second, name, time.Millisecond, hornbeamcroft.OutcomeSuccess)
	is.True(!b.Status(6 * time.Second)[0].Ejected)
}

// TestRestart guards against a restarted upstream that keeps the latency and the failures from before the restart, and
// against quick refusals that make an overloaded upstream look fast.
func TestRestart(t *testing.T) {
	is := is.New(t)
	b := Balancer{Zone: "a"}
	ms := members(3)
	b.Update(0, ms)
	finishCall(&b, 0, "0", time.Second, hornbeamcroft.OutcomeSuccess)
	finishCall(&b, 0, "1", time.Millisecond, hornbeamcroft.OutcomeSuccess)
	finishCall(&b, 0, "1", time.Microsecond, hornbeamcroft.OutcomeRefused)
	ms[0].Incarnation, ms[0].SinceStart = 2, 0
	b.Update(0, ms)
	st := b.Status(0)
	is.Equal(st[0].Latency, time.Millisecond) // the mean of the others
	is.Equal(st[0].Weight, minWeight)
	is.Equal(st[1].Latency, time.Millisecond)
	is.True(st[1].Refused > 0)
	is.Equal(b.Status(5 * time.Second)[0].Weight, 0.5)
}

func ExampleBalancer() {
	b := Balancer{Zone: "quimper", ZoneDelay: 500 * time.Microsecond}
	b.Update(0, []hornbeamcroft.Member{
		{Name: "stock-1", Zone: "quimper", State: hornbeamcroft.MemberServing, SinceStart: 60_000},
		{Name: "stock-2", Zone: "quimper", State: hornbeamcroft.MemberDraining, SinceStart: 60_000},
	})
	name, ok := b.Pick(0, rand.New(rand.NewPCG(1, 1)), nil)
	fmt.Println(name, ok)
	// Output: stock-1 true
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 22, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			rnd := rand.New(rand.NewPCG(1, 1))
			l := Balancer{Zone: "a"}
			l.Update(0, members(n))
			now := time.Duration(0)
			for b.Loop() {
				now += time.Millisecond
				name, _ := l.Pick(now, rnd, nil)
				finishCall(&l, now, name, time.Millisecond, hornbeamcroft.OutcomeSuccess)
			}
		})
	}
}
