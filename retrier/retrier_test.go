package retrier

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamcroft"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes failures reproducible.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	// A fault that returns too much budget shows only after a child call has spent some of its share and answered; the
	// default of 100 checks with short runs misses it.
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

const farDeadline = time.Hour

// budgetModel is a request whose calls are sent, run, answered and lost in any order.
type budgetModel struct {
	r       Retrier
	budget  int
	live    []call
	sent    []Attempt
	answers []reply
	id      uint64
	retries int
	// runs is the number of executions at each depth of the chain of child calls with content 0; -1 counts all others.
	runs map[int]int
}

type call struct {
	id    uint64
	depth int // depth in the chain of child calls with content 0; -1 outside the chain
}

type reply struct {
	a       Attempt
	unspent int
}

func (m *budgetModel) open(budget, depth int) {
	m.id++
	m.r.Open(m.id, budget, farDeadline)
	m.live = append(m.live, call{m.id, depth})
	m.runs[depth]++
}

func (m *budgetModel) send(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	parent := rapid.SampledFrom(m.live).Draw(t, "parent")
	kind := rapid.Uint64Range(0, 2).Draw(t, "child")
	a, code := m.r.Begin(0, parent.id, Child{Service: "s", Content: kind})
	if code != hornbeamcroft.CodeAnswered {
		return
	}
	if a.Retry {
		m.retries++
	}
	m.sent = append(m.sent, a)
	if rapid.IntRange(0, 4).Draw(t, "arrives") == 0 {
		return
	}
	depth := -1
	if kind == 0 && parent.depth >= 0 {
		depth = parent.depth + 1
	}
	m.open(a.Share, depth)
	// Until the call ends, unspent holds its negative id, by which finish finds the reply.
	m.answers = append(m.answers, reply{a: a, unspent: -int(m.id)})
}

func (m *budgetModel) finish(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.live)-1).Draw(t, "call")
	unspent := m.r.Close(m.live[i].id)
	for j := range m.answers {
		if m.answers[j].unspent == -int(m.live[i].id) {
			m.answers[j].unspent = unspent
		}
	}
	m.live = append(m.live[:i], m.live[i+1:]...)
}

// deliver returns the budget of an answer, possibly late or twice.
func (m *budgetModel) deliver(t *rapid.T) {
	if len(m.answers) == 0 {
		return
	}
	if a := rapid.SampledFrom(m.answers).Draw(t, "answer"); a.unspent >= 0 {
		m.r.Return(a.a, a.unspent)
	}
}

func (m *budgetModel) endLost(t *rapid.T) {
	if len(m.sent) > 0 {
		m.r.EndLost(rapid.SampledFrom(m.sent).Draw(t, "attempt"))
	}
}

func (m *budgetModel) check(t *rapid.T) {
	held := 0
	for _, c := range m.live {
		held += m.r.Held(c.id)
	}
	if m.retries+held > m.budget {
		t.Fatalf("%d retries and %d held exceed the budget %d", m.retries, held, m.budget)
	}
	for depth, n := range m.runs {
		if depth >= 0 && n > 1+m.budget {
			t.Fatalf("%d runs at depth %d with the budget %d", n, depth, m.budget)
		}
	}
}

// TestBudgetHolds guards against budget units that are created when answers are lost, late, duplicated or reordered.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &budgetModel{budget: rapid.IntRange(0, 12).Draw(t, "budget"), runs: map[int]int{}}
		if rapid.Bool().Draw(t, "whole") {
			m.r.ShareRule = WholeShare
		}
		m.open(m.budget, 0)
		t.Repeat(map[string]func(*rapid.T){
			"send": m.send, "send-more": m.send, "finish": m.finish, "deliver": m.deliver, "lose": m.endLost, "": m.check,
		})
	})
}

// TestDecide guards against retries of work that may have run, after the deadline, without budget, or without a chance
// of another outcome.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name       string
		code       hornbeamcroft.Code
		idempotent bool
		budget     int
		retryAfter time.Duration
		retry      bool
		reroute    bool
		reason     hornbeamcroft.Code
	}{
		{name: "answered", code: hornbeamcroft.CodeAnswered, idempotent: true, budget: 3},
		{name: "refused", code: hornbeamcroft.CodeOverloaded, budget: 3, retry: true},
		{name: "budget spent", code: hornbeamcroft.CodeOverloaded, reason: hornbeamcroft.CodeRetryBudgetSpent},
		{name: "unknown outcome", code: hornbeamcroft.CodeOutcomeUnknown, budget: 3},
		{name: "unknown outcome, idempotent", code: hornbeamcroft.CodeOutcomeUnknown, idempotent: true, budget: 3, retry: true},
		{name: "poison", code: hornbeamcroft.CodePoisonRefused, idempotent: true, budget: 3},
		{name: "malformed", code: hornbeamcroft.CodeMalformed, idempotent: true, budget: 3},
		{name: "draining", code: hornbeamcroft.CodeDraining, retry: true, reroute: true},
		{
			name: "too late", code: hornbeamcroft.CodeOverloaded, budget: 3, retryAfter: farDeadline,
			reason: hornbeamcroft.CodeDeadlineTooShort,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r Retrier
			r.Open(1, c.budget, farDeadline)
			a, _ := r.Begin(0, 1, Child{})
			r.Return(a, a.Share)
			if c.reroute {
				a, _ = r.Begin(0, 1, Child{Type: "other"})
			}
			v := r.Decide(0, rand.New(rand.NewPCG(1, 1)), a, Child{}, Failure{
				Code: c.code, Claim: c.code.Claim(), Idempotent: c.idempotent, RetryAfter: c.retryAfter,
			})
			is.Equal(v.Retry, c.retry)
			is.Equal(v.Reroute, c.reroute)
			is.Equal(v.Code, c.reason)
		})
	}
}

// TestRequestKept guards against a new budget for each resend with the same key, and against budgets that are never
// dropped.
func TestRequestKept(t *testing.T) {
	is := is.New(t)
	r := Retrier{KeepRequests: time.Minute}
	sends := 0
	for i := range 5 {
		id := r.OpenRequest(0, "key", uint64(i+1), 2, time.Second)
		a, code := r.Begin(0, id, Child{Service: "s"})
		if code == hornbeamcroft.CodeAnswered {
			sends++
			r.Return(a, a.Share)
		}
	}
	is.Equal(sends, 3) // the first send and the budget of 2
	r.Expire(time.Minute)
	is.Equal(r.Len(), 0)
}

// TestAmbiguousParent guards against retries that pass as first sends when the parent is not known exactly.
func TestAmbiguousParent(t *testing.T) {
	is := is.New(t)
	var r Retrier
	r.Open(1, 5, farDeadline)
	r.Open(2, 5, farDeadline)
	for _, want := range []hornbeamcroft.Code{
		hornbeamcroft.CodeAnswered, hornbeamcroft.CodeAnswered, hornbeamcroft.CodeRetryBudgetSpent,
	} {
		a, code := r.BeginAmbiguous(0, []uint64{1, 2}, Child{})
		is.Equal(code, want)
		is.Equal(a.Share, 0)
	}
}

func BenchmarkBeginReturn(b *testing.B) {
	b.ReportAllocs()
	var r Retrier
	for b.Loop() {
		r.Open(1, 3, farDeadline)
		a, _ := r.Begin(0, 1, Child{Service: "s"})
		r.Return(a, a.Share)
		r.Close(1)
	}
}

func ExampleRetrier() {
	var r Retrier
	r.Open(1, 3, time.Second)
	child := Child{Service: "felt-stock", Type: "lookup", Content: 42}
	a, _ := r.Begin(0, 1, child)
	fmt.Println("first send: share", a.Share, "held", r.Held(1))
	r.EndLost(a)
	a, _ = r.Begin(0, 1, child)
	fmt.Println("repeat: share", a.Share, "held", r.Held(1))
	_, code := r.Begin(0, 1, child)
	fmt.Println(code)
	// Output:
	// first send: share 2 held 1
	// repeat: share 0 held 0
	// 212 retry-budget-spent
}
