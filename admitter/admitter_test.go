package admitter

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamcroft"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes a failure repeatable.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// contractChecker checks the contract of an Admitter for tickets that arrive and end in any order.
type contractChecker struct {
	a       Admitter
	now     time.Duration
	id      uint64
	waiting map[uint64]hornbeamcroft.Ticket
	running map[uint64]bool
}

func (c *contractChecker) checkDecisions(t *rapid.T, ds []hornbeamcroft.Decision) {
	for _, d := range ds {
		ticket, ok := c.waiting[d.ID]
		if !ok {
			t.Fatalf("decision on ticket %d, which is not waiting", d.ID)
		}
		delete(c.waiting, d.ID)
		if !d.Admitted {
			if d.Code.Claim() != hornbeamcroft.ClaimNotRun || d.RetryAfter < 0 {
				t.Fatalf("ticket refused with code %s, Retry-After %s", d.Code, d.RetryAfter)
			}
			continue
		}
		if c.now >= ticket.Deadline {
			t.Fatalf("ticket %d admitted after its deadline", d.ID)
		}
		for _, isolated := range c.running {
			if isolated || ticket.Isolated {
				t.Fatalf("ticket %d runs beside an isolated run", d.ID)
			}
		}
		c.running[d.ID] = ticket.Isolated
		if len(c.running) > c.a.Slots {
			t.Fatalf("%d tickets run in %d slots", len(c.running), c.a.Slots)
		}
	}
}

func (c *contractChecker) arrive(t *rapid.T) {
	c.id++
	n := hornbeamcroft.Ticket{
		ID: c.id, Importance: hornbeamcroft.Importance(rapid.IntRange(0, 3).Draw(t, "importance")),
		Depth: rapid.IntRange(1, 3).Draw(t, "depth"), Hash: rapid.Uint32Range(0, 65535).Draw(t, "hash"),
		Deadline: c.now + time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline"))*time.Millisecond,
		Isolated: rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	c.waiting[c.id] = n
	c.checkDecisions(t, c.a.Arrive(c.now, n))
}

func (c *contractChecker) finish(t *rapid.T) {
	for id := range c.running {
		delete(c.running, id)
		c.checkDecisions(t, c.a.Finish(c.now, id, hornbeamcroft.Sample{
			ServiceTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "time")) * time.Millisecond,
			Overloaded:  rapid.IntRange(0, 5).Draw(t, "overloaded") == 0,
		}))
		return
	}
}

func (c *contractChecker) cancel(t *rapid.T) {
	id := rapid.Uint64Range(0, c.id).Draw(t, "id")
	delete(c.waiting, id)
	c.checkDecisions(t, c.a.Cancel(c.now, id))
}

func (c *contractChecker) tick(t *rapid.T) {
	c.now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
	c.checkDecisions(t, c.a.Tick(c.now))
}

// TestContract guards against a ticket that gets no decision or more than one, more running calls than slots, calls
// that start after their deadline, and calls that run beside an isolated run.
func TestContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &contractChecker{waiting: map[uint64]hornbeamcroft.Ticket{}, running: map[uint64]bool{}}
		c.a = Admitter{Service: "s", Slots: rapid.IntRange(1, 9).Draw(t, "slots")}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": c.arrive, "arrive-more": c.arrive, "finish": c.finish, "cancel": c.cancel, "tick": c.tick,
		})
		for len(c.running) > 0 {
			c.finish(t)
		}
		for range 100 {
			c.tick(t)
			for len(c.running) > 0 {
				c.finish(t)
			}
		}
		if len(c.waiting) > 0 || c.a.Waiting() > 0 {
			t.Fatalf("tickets without a decision: %v", c.waiting)
		}
	})
}

// TestDeadlineTooShort guards against starting a call whose remaining time is shorter than the median service time.
func TestDeadlineTooShort(t *testing.T) {
	is := is.New(t)
	a := Admitter{Slots: 4}
	a.Arrive(0, hornbeamcroft.Ticket{ID: 1, Deadline: time.Second})
	a.Finish(0, 1, hornbeamcroft.Sample{ServiceTime: 50 * time.Millisecond})
	ds := a.Arrive(0, hornbeamcroft.Ticket{ID: 2, Deadline: 40 * time.Millisecond})
	is.Equal(ds[0].Code, hornbeamcroft.CodeDeadlineTooShort)
	ds = a.Arrive(0, hornbeamcroft.Ticket{ID: 3, Deadline: 60 * time.Millisecond})
	is.True(ds[0].Admitted)
}

// TestHash guards against a change of the survival hash, which nodes of different versions must share, and against an
// off-by-one error in the comparison with the threshold.
func TestHash(t *testing.T) {
	is := is.New(t)
	is.Equal(Hash(""), uint32(0xef46))  // the published XXH64 of "" is ef46db3751d8e999
	is.Equal(Hash("a"), uint32(0xd24e)) // and that of "a" d24ec4f1a98c6e5b
	p := hornbeamcroft.AdmissionLevel{Importance: hornbeamcroft.ImportanceNormal, Threshold: 100}
	is.True(Admits(p, hornbeamcroft.ImportanceNormal, 99))
	is.True(!Admits(p, hornbeamcroft.ImportanceNormal, 100))
	is.True(Admits(p, hornbeamcroft.ImportanceHigh, 65535))
	is.True(!Admits(p, hornbeamcroft.ImportanceLow, 0))
	is.True(Admits(hornbeamcroft.AdmissionLevel{Threshold: hornbeamcroft.ThresholdAll}, 0, 65535))
}

func ExampleAdmitter() {
	a := Admitter{Service: "cash-office", Slots: 1}
	t := hornbeamcroft.Ticket{ID: 1, Importance: hornbeamcroft.ImportanceHigh, Hash: Hash("request-1"), Deadline: time.Second}
	fmt.Println(a.Arrive(0, t)[0].Admitted)
	t.ID = 2
	fmt.Println(len(a.Arrive(0, t)), a.Waiting())
	ds := a.Finish(20*time.Millisecond, 1, hornbeamcroft.Sample{ServiceTime: 20 * time.Millisecond})
	fmt.Println(ds[0].ID, ds[0].Admitted)
	// Output:
	// true
	// 0 1
	// 2 true
}

func BenchmarkArriveFinish(b *testing.B) {
	b.ReportAllocs()
	a := Admitter{Slots: 170}
	now := time.Duration(0)
	for id := uint64(0); b.Loop(); id++ {
		now += time.Millisecond
		t := hornbeamcroft.Ticket{ID: id, Hash: Hash("a request id of a usual length, 36 b"), Deadline: now + time.Second}
		if a.Arrive(now, t)[0].Admitted {
			a.Finish(now, id, hornbeamcroft.Sample{ServiceTime: time.Millisecond})
		}
	}
}
