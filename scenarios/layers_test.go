package scenarios

import (
	"math/rand/v2"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
	"hornbeamcroft/retrier"
)

// layers is a chain of calls without time. The deepest service fails; each layer's own code tries the next one several
// times. Answers are lost at random.
type layers struct {
	cfg     config
	rnd     *rand.Rand
	r       retrier.Retrier
	id      uint64
	reached int
}

// runLayers counts the calls that reach the deepest service: "layers depth=n tries=n budget=n|per-hop=n lost=share".
func runLayers(ts *testscript.TestScript, _ bool, args []string) {
	cfg, err := parse(args)
	ts.Check(err)
	l := &layers{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.seed, 1))}
	l.r = retrier.Retrier{PerHop: cfg.perHop, Share: cfg.share}
	l.execute(0, cfg.budget)
	results := ts.Value("results").(map[string]float64)
	results["reached"] = float64(l.reached)
}

// execute runs a call at the given depth and returns its unspent budget.
func (l *layers) execute(depth, budget int) int {
	if depth == l.cfg.depth {
		l.reached++
		return budget
	}
	l.id++
	id := l.id
	l.r.Open(id, budget, l.cfg.deadline)
	for range l.cfg.tries {
		a, code := l.r.Begin(0, id, retrier.Child{Service: "next"})
		if code != hornbeamcroft.CodeAnswered {
			break
		}
		unspent := l.execute(depth+1, a.Share)
		if l.rnd.Float64() < l.cfg.lost {
			l.r.Lose(a)
		}
		l.r.Return(a, unspent)
	}
	return l.r.Close(id)
}
