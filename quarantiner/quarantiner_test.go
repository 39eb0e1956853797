package quarantiner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The seed is fixed, so that failures in CI are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestAnyMix guards against a poison request that crashes a third upstream, and against harmless requests that run
// isolated twice or get no answer. It mixes them on random nodes.
func TestAnyMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		s := newService(rapid.Uint64().Draw(t, "seed"))
		s.reset(4)
		first := rapid.IntRange(0, 3).Draw(t, "first")
		s.start(s.nodes[first], "poison")
		for i := range rapid.IntRange(0, 12).Draw(t, "good") {
			s.start(s.nodes[rapid.IntRange(0, 3).Draw(t, "node")], fmt.Sprint("good-", i))
		}
		for end := s.now + 10*time.Second; s.now < end; s.now += time.Millisecond {
			s.step()
		}
		down := 0
		for _, n := range s.nodes {
			if n.down {
				down++
			}
		}
		is.True(down <= 2)
		is.Equal(s.calls[0].outcome, "refused")
		for _, c := range s.calls[1:] {
			is.Equal(c.outcome, "answered")
			is.True(c.isolated <= 1)
		}
	})
}

// TestOneTurn guards against two isolated runs at the same time in one service.
func TestOneTurn(t *testing.T) {
	is := is.New(t)
	nodes := map[string]*Quarantiner{}
	for _, n := range []string{"a", "b", "c"} {
		nodes[n], _ = New(0, Config{Node: n, Crashes: 2, RefuseTime: time.Minute})
		nodes[n].SetMembers(0, []string{"a", "b", "c"})
	}
	report := Report{Suspects: []Suspect{{Key: "x", Crashes: []uint64{1}, Remaining: time.Minute}}}
	nodes["b"].Receive(0, "a", report)
	nodes["c"].Receive(0, "a", report)
	granted := 0
	for _, n := range []string{"b", "c"} {
		res := nodes[n].Arrive(0, Request{ID: 1, Key: "x"})
		is.Equal(res.Verdict, VerdictWait)
		granted += len(nodes["a"].Receive(0, n, res.Send[0].Message).Send)
	}
	is.Equal(granted, 1)
	is.Equal(len(nodes["a"].Tick(holdTimeout-1).Send), 0) // the isolated run of the holder may be in progress
	is.Equal(len(nodes["a"].Tick(holdTimeout).Send), 1)   // no message of the holder for holdTimeout: the next node gets the turn
}

// TestNewCoordinator guards against a second isolated run at the same time, granted by a new coordinator after the node
// that granted the first run has left.
func TestNewCoordinator(t *testing.T) {
	is := is.New(t)
	b, _ := New(0, Config{Node: "b", Crashes: 2, RefuseTime: time.Minute})
	c, _ := New(0, Config{Node: "c", Crashes: 2, RefuseTime: time.Minute})
	for _, q := range []*Quarantiner{b, c} {
		q.SetMembers(0, []string{"a", "b", "c"})
		q.Receive(0, "a", Report{Suspects: []Suspect{{Key: "x", Crashes: []uint64{1}, Remaining: time.Minute}}})
		is.Equal(q.Arrive(0, Request{ID: 1, Key: "x"}).Verdict, VerdictWait)
	}
	is.Equal(c.Receive(0, "a", IsolationTurn{Step: IsolationTurnGrant}).Isolated, []uint64{1})
	for _, q := range []*Quarantiner{b, c} {
		q.SetMembers(0, []string{"b", "c"})
	}
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		is.Equal(len(b.Tick(now).Isolated), 0) // the isolated run of c is in progress
		for _, o := range c.Tick(now).Send {
			b.Receive(now, "c", o.Message)
		}
	}
	for _, o := range c.Finish(10*time.Second, 1).Send {
		res := b.Receive(10*time.Second, "c", o.Message)
		is.Equal(len(res.Isolated), 0)
		if _, ok := o.Message.(Cleared); ok {
			is.Equal(res.Release, []uint64{1})
		}
	}
}

// TestBound guards against a table that grows with every crash, and against a bound that removes refused requests
// before mere suspects.
func TestBound(t *testing.T) {
	is := is.New(t)
	q, err := New(0, Config{Node: "a", Crashes: 2, RefuseTime: time.Minute})
	is.NoErr(err)
	q.table.add(0, Suspect{Key: "poison", Crashes: []uint64{1, 2}, Remaining: time.Minute})
	for i := range maxSuspects + 100 {
		q.table.add(0, Suspect{Key: fmt.Sprint(i), Crashes: []uint64{3}, Remaining: time.Minute})
	}
	is.Equal(q.SuspectCount(), maxSuspects)
	is.Equal(q.Arrive(0, Request{Key: "poison"}).Verdict, VerdictRefuse)
	q.Tick(time.Minute)
	q.Tick(2 * time.Minute)
	is.Equal(q.SuspectCount()+len(q.table.byKey), 0)
}

// FuzzReceive guards against messages from other processes that pass Check and then cause a panic.
func FuzzReceive(f *testing.F) {
	s := Suspect{Key: "x", Fingerprint: 1, Crashes: []uint64{1}, Remaining: 1}
	for kind, m := range []Message{Report{Suspects: []Suspect{s}}, Cleared{Key: "x"}, IsolationTurn{Step: IsolationTurnGrant}} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), b)
	}
	f.Fuzz(func(_ *testing.T, kind uint8, b []byte) {
		var r Report
		var c Cleared
		var turn IsolationTurn
		into := []any{&r, &c, &turn}[kind%3]
		if cbor.Unmarshal(b, into) != nil {
			return
		}
		q, _ := New(0, Config{Node: "a", Crashes: 2, RefuseTime: time.Minute})
		q.SetMembers(0, []string{"b", "a"})
		for _, m := range []Message{r, c, turn} {
			if m.Check() == nil {
				q.Receive(1, "b", m)
			}
		}
	})
}

func BenchmarkArrive(b *testing.B) {
	q, _ := New(0, Config{Node: "a", Crashes: 2, RefuseTime: time.Minute})
	for i := range maxSuspects {
		q.table.add(0, Suspect{Fingerprint: uint64(i + 1), Crashes: []uint64{3}, Remaining: time.Minute})
	}
	for b.Loop() {
		q.Arrive(1, Request{Key: "0190f5f0-0000-7000-8000-000000000000", Fingerprint: 1 << 40})
	}
}
