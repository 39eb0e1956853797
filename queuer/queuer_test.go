package queuer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamcroft"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes a failure repeatable.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	// The queue is seldom full in short runs, so these would miss a wrong displacement.
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

func ticket(t *rapid.T, id uint64) hornbeamcroft.Ticket {
	return hornbeamcroft.Ticket{
		ID: id, Importance: hornbeamcroft.Importance(rapid.IntRange(0, 3).Draw(t, "importance")),
		Depth: rapid.IntRange(1, 3).Draw(t, "depth"), Hash: rapid.Uint32Range(0, 3).Draw(t, "hash"),
		Deadline: time.Duration(rapid.IntRange(1, 40).Draw(t, "deadline")),
	}
}

// runsBefore is the documented order, written independently of compare.
func runsBefore(a, b hornbeamcroft.Ticket) bool {
	if a.Importance != b.Importance {
		return a.Importance > b.Importance
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	if a.Hash != b.Hash {
		return a.Hash < b.Hash
	}
	return a.ID < b.ID
}

// TestOrder guards against an entry that leaves the queue out of order, is lost, waits too long or displaces the
// wrong entry.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 5
		q, now, id := Queuer{MaxWait: 20}, time.Duration(0), uint64(0)
		waiting := map[uint64]Entry{}
		next := func(lowest bool) (best hornbeamcroft.Ticket) {
			for _, e := range waiting {
				newest := e.Ticket.Importance < best.Importance || (e.Ticket.Importance == best.Importance && e.Ticket.ID > best.ID)
				if best.ID == 0 || (lowest && newest) || (!lowest && runsBefore(e.Ticket, best)) {
					best = e.Ticket
				}
			}
			return best
		}
		push := func(t *rapid.T) {
			id++
			n := ticket(t, id)
			n.Deadline += now
			want := next(true)
			if n.Importance <= want.Importance {
				want = n
			}
			e, full := q.Push(now, n, capacity)
			waiting[id] = Entry{Ticket: n, Arrived: now}
			if full != (len(waiting) > capacity) || (full && e.Ticket != want) {
				t.Fatalf("refused %+v (%v), want %+v", e.Ticket, full, want)
			}
			if full {
				delete(waiting, e.Ticket.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": push, "push-2": push, "push-3": push,
			"pop": func(t *rapid.T) {
				want := next(false)
				if e, _ := q.Pop(); e.Ticket != want {
					t.Fatalf("popped %+v, want %+v", e.Ticket, want)
				}
				delete(waiting, want.ID)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 10).Draw(t, "time"))
				for _, e := range q.Expire(now, nil) {
					delete(waiting, e.Ticket.ID)
				}
				for _, e := range waiting {
					if now-e.Arrived >= q.MaxWait || now >= e.Ticket.Deadline {
						t.Fatalf("%+v still waits at %d", e, now)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				n := rapid.Uint64Range(0, id).Draw(t, "id")
				_, ok := waiting[n]
				delete(waiting, n)
				if q.Cancel(n) != ok {
					t.Fatalf("cancel of ticket %d: did not return %v", n, ok)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("%d entries wait, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

func ExampleQueuer() {
	q := Queuer{MaxWait: 100 * time.Millisecond}
	q.Push(0, hornbeamcroft.Ticket{ID: 1, Importance: hornbeamcroft.ImportanceLow, Deadline: time.Second}, 2)
	q.Push(0, hornbeamcroft.Ticket{ID: 2, Importance: hornbeamcroft.ImportanceHigh, Deadline: time.Second}, 2)
	refused, _ := q.Push(0, hornbeamcroft.Ticket{ID: 3, Importance: hornbeamcroft.ImportanceHigh, Depth: 2, Deadline: time.Second}, 2)
	first, _ := q.Pop()
	fmt.Println("refused", refused.Ticket.ID, "first", first.Ticket.ID)
	// Output: refused 1 first 3
}

func BenchmarkPushPop(b *testing.B) {
	b.ReportAllocs()
	q := Queuer{MaxWait: time.Hour}
	for i := range uint64(170) {
		q.Push(0, hornbeamcroft.Ticket{ID: i, Hash: uint32(i * 7919 % 65536), Deadline: time.Hour}, 170)
	}
	for i := uint64(0); b.Loop(); i++ {
		q.Pop()
		q.Push(0, hornbeamcroft.Ticket{ID: i, Hash: uint32(i * 7919 % 65536), Deadline: time.Hour}, 170)
	}
}
