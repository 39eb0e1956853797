package scenarios

import (
	"math/rand/v2"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
	"hornbeamcroft/retrier"
)

// layers is a chain of calls without time. Calls of the deepest service fail and answers are lost at random; each
// layer's own code tries the next one several times.
type layers struct {
	cfg     config
	rnd     *rand.Rand
	r       retrier.Retrier
	id      uint64
	reached int
}

// runLayers counts the calls that reach the deepest service per request, and the requests that succeed:
// "layers depth=n tries=n budget=n|per-hop=n fail=share lost=share requests=n".
func runLayers(ts *testscript.TestScript, _ bool, args []string) {
	cfg, err := parse(args)
	ts.Check(err)
	l := &layers{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.seed, 1))}
	l.r = retrier.Retrier{PerHop: cfg.perHop, Share: cfg.share}
	most, answered, calls := 0, 0, 0
	for range cfg.requests {
		l.reached = 0
		if _, ok := l.execute(0, cfg.budget); ok {
			answered++
		}
		most, calls = max(most, l.reached), calls+l.reached
	}
	results := ts.Value("results").(map[string]float64)
	results["reached"] = float64(most)
	results["answered"] = float64(answered) / float64(cfg.requests)
	results["calls"] = float64(calls) / float64(cfg.requests)
	ts.Logf("reached %d answered %.4g calls %.4g", most, results["answered"], results["calls"])
}

// execute runs a call at the given depth and returns its unspent budget and whether it succeeded.
func (l *layers) execute(depth, budget int) (int, bool) {
	if depth == l.cfg.depth {
		l.reached++
		return budget, l.rnd.Float64() >= l.cfg.fail
	}
	l.id++
	id := l.id
	l.r.Open(id, budget, l.cfg.deadline)
	for range l.cfg.tries {
		a, code := l.r.Begin(0, id, retrier.Child{Service: "next"})
		if code != hornbeamcroft.CodeAnswered {
			break
		}
		unspent, ok := l.execute(depth+1, a.Share)
		if l.rnd.Float64() < l.cfg.lost {
			l.r.Lose(a)
			continue
		}
		if l.r.Return(a, unspent); ok {
			return l.r.Close(id), true
		}
	}
	return l.r.Close(id), false
}
