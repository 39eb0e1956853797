package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func newMember(name, zone string) hornbeamcroft.Member {
	return hornbeamcroft.Member{
		Name: name, Zone: zone, Address: name, Incarnation: 1, State: hornbeamcroft.MemberServing, Slots: 10,
	}
}

func load(running, waiting int) hornbeamcroft.Load {
	return hornbeamcroft.Load{Running: running, Waiting: waiting, Limit: 10, ServiceTime: 50 * time.Millisecond}
}

// fixture is a Placer in the zone "here" with its random source.
type fixture struct {
	*Placer
	rnd *rand.Rand
}

func newFixture(members ...hornbeamcroft.Member) fixture {
	f := fixture{&Placer{Zone: "here"}, rand.New(rand.NewPCG(1, 1))}
	f.Update(members)
	for _, m := range members {
		f.SetLinked(m.Name, true)
		f.Report(0, m.Name, load(0, 0))
	}
	return f
}

func (f fixture) pick(slack time.Duration) string {
	m, _ := f.Pick(0, f.rnd, Requirements{Slack: slack})
	return m.Name
}

// TestZone guards against calls that leave the availability zone without need, and against calls that wait in it
// although another zone has free slots.
func TestZone(t *testing.T) {
	is := is.New(t)
	f := newFixture(newMember("a", "here"), newMember("b", "there"))
	is.Equal(f.pick(time.Second), "a")
	f.Report(0, "a", load(10, 5)) // a queue delay of 30 ms
	is.Equal(f.pick(time.Second), "a")
	is.Equal(f.pick(200*time.Millisecond), "b")
	f.Report(0, "b", load(10, 5))
	is.Equal(f.pick(200*time.Millisecond), "a")
}

// TestAvoided guards against calls to members that are draining, are stopping, fail often, have no link or could not
// be reached, while there are others.
func TestAvoided(t *testing.T) {
	leaving, stopping := newMember("b", "here"), newMember("b", "here")
	leaving.State, stopping.Stopping = hornbeamcroft.MemberDraining, true
	failingLoad := load(0, 0)
	failingLoad.FailureRatio = 150
	for name, avoid := range map[string]func(f fixture){
		"leaving":  func(f fixture) { f.Update([]hornbeamcroft.Member{newMember("a", "there"), leaving}) },
		"stopping": func(f fixture) { f.Update([]hornbeamcroft.Member{newMember("a", "there"), stopping}) },
		"failing":  func(f fixture) { f.Report(0, "b", failingLoad) },
		"unlinked": func(f fixture) { f.SetLinked("b", false) },
		"down":     func(f fixture) { f.MarkUnreachable(0, "b") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(newMember("a", "there"), newMember("b", "here"))
			is.Equal(f.pick(time.Second), "b")
			avoid(f)
			is.Equal(f.pick(time.Second), "a")
		})
	}
}

// TestLast guards against a call that is placed nowhere although one member may take it, and against a call that is
// placed at an excluded member.
func TestLast(t *testing.T) {
	is := is.New(t)
	f := newFixture(newMember("a", "here"))
	f.SetLinked("a", false)
	is.Equal(f.pick(time.Second), "a")
	_, ok := f.Pick(0, f.rnd, Requirements{Exclude: func(string) bool { return true }})
	is.True(!ok)
}

// TestFewFailures guards against calls that leave the availability zone, which is paid for, because of failures that
// the requests cause themselves.
func TestFewFailures(t *testing.T) {
	is := is.New(t)
	f := newFixture(newMember("a", "there"), newMember("b", "here"))
	toleratedLoad := load(0, 0)
	toleratedLoad.FailureRatio = 80
	f.Report(0, "b", toleratedLoad)
	is.Equal(f.pick(time.Second), "b")
}

// TestOnce guards against a call that may run only once, has little slack and is placed at an upstream that loses
// answers, because another upstream holds its slots for longer.
func TestOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(newMember("a", "here"), newMember("b", "here"))
	failingLoad, slow := load(0, 0), load(0, 0)
	failingLoad.FailureRatio, failingLoad.ServiceTime = 300, 60*time.Millisecond
	slow.ServiceTime = 150 * time.Millisecond
	f.Report(0, "a", failingLoad)
	f.Report(0, "b", slow)
	for once, want := range map[bool]string{false: "a", true: "b"} {
		m, ok := f.Pick(0, f.rnd, Requirements{Slack: 200 * time.Millisecond, Once: once})
		is.True(ok)
		is.Equal(m.Name, want)
	}
}

// longLoad is the load of an upstream whose calls take about as long as the slack of the calls in the tests allows.
func longLoad(running, waiting int, serviceTime time.Duration) hornbeamcroft.Load {
	l := load(running, waiting)
	l.ServiceTime = serviceTime
	return l
}

// TestStarted guards against calls that all go to a node which has just started and has reported no service time, where they wait
// while other members have free slots.
func TestStarted(t *testing.T) {
	is := is.New(t)
	f := newFixture(newMember("known", "here"), newMember("started", "here"))
	f.Report(0, "known", longLoad(4, 0, 1900*time.Millisecond))
	f.Report(0, "started", longLoad(0, 0, 0))
	counts := make(map[string]int)
	for range 16 {
		name := f.pick(4 * time.Second)
		f.Start(name)
		counts[name]++
	}
	is.Equal(counts["started"], 10) // all slots of one, and the free slots of the other
	is.Equal(counts["known"], 6)
}

// TestComparable guards against calls of seconds that wait at the member whose service time is the shortest by chance, while another has
// free slots. A member that is slower for certain is avoided, and for short calls the service times count as reported.
func TestComparable(t *testing.T) {
	for name, c := range map[string]struct {
		full, free, slack time.Duration
		want              string
	}{
		"equal":  {1800 * time.Millisecond, 2000 * time.Millisecond, 4 * time.Second, "free"},
		"slower": {1800 * time.Millisecond, 2400 * time.Millisecond, 4 * time.Second, "full"},
		"short":  {90 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, "full"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(newMember("full", "here"), newMember("free", "here"))
			f.Report(0, "full", longLoad(10, 0, c.full))
			f.Report(0, "free", longLoad(1, 0, c.free))
			is.Equal(f.pick(c.slack), c.want)
		})
	}
}

// TestNoServiceTime guards against calls that go to the longer queue of a node which has reported its load but no service time yet.
func TestNoServiceTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(newMember("known", "here"), newMember("started", "here"))
	f.Report(0, "known", longLoad(10, 1, 1900*time.Millisecond))
	f.Report(0, "started", longLoad(10, 5, 0))
	is.Equal(f.pick(4*time.Second), "known")
}
