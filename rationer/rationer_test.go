package rationer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

const window = 10 * time.Second

func newRationer() *Rationer {
	return &Rationer{Ratio: 0.2, Allowance: 50, Window: window, Share: 1, Nodes: 1}
}

// TestBound guards against more retries in a window than the budget, whatever kinds of calls ask for them.
func TestBound(t *testing.T) {
	is := is.New(t)
	r := newRationer()
	var granted []time.Duration
	requests := make(map[time.Duration]int)
	for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
		requests[at.Truncate(time.Second)]++
		r.CountRequest(at, "s")
		for i := range 3 {
			if r.Allow(at, Retry{Service: "s", WholeRequest: i == 0, Depth: 1, Subtree: i == 2, Hash: uint32(at) % 65536}) {
				granted = append(granted, at)
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += time.Second {
		n := 0
		for _, at := range granted {
			if at >= from && at < from+window {
				n++
			}
		}
		is.True(float64(n) <= 0.2*1000+50)
	}
	is.True(len(granted) > 400) // the budget is spent
}

// TestWholeRequests guards against grouped calls, of which several must all succeed, that use up the retries which single
// requests need.
func TestWholeRequests(t *testing.T) {
	is := is.New(t)
	r := newRationer()
	wanted, got := 0, 0
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		r.CountRequest(at, "s")
		for range 2 {
			r.Allow(at, Retry{Service: "s", Depth: 3, Importance: hornbeamcroft.ImportanceNormal, Hash: uint32(at/7) % 65536})
		}
		if at > 10*time.Second && at%(100*time.Millisecond) == 0 {
			wanted++
			if r.Allow(at, Retry{Service: "s", WholeRequest: true, Depth: 1}) {
				got++
			}
		}
	}
	is.True(got*10 >= wanted*9)
}

// TestImportance guards against retries that go to less important requests while retries are scarce.
func TestImportance(t *testing.T) {
	is := is.New(t)
	r := newRationer()
	got := make(map[hornbeamcroft.Importance]int)
	for at := time.Duration(0); at < 40*time.Second; at += 2 * time.Millisecond {
		if at%(10*time.Millisecond) == 0 {
			r.CountRequest(at, "s")
		}
		for _, i := range []hornbeamcroft.Importance{hornbeamcroft.ImportanceNormal, hornbeamcroft.ImportanceCritical} {
			if r.Allow(at, Retry{Service: "s", Depth: 3, Importance: i, Hash: uint32(at/3) % 65536}) && at > 20*time.Second {
				got[i]++
			}
		}
	}
	is.True(got[hornbeamcroft.ImportanceCritical] > 10*got[hornbeamcroft.ImportanceNormal])
}
