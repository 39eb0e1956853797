package scenarios

import (
	"math/rand/v2"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
	"hornbeamcroft/retrier"
)

// layers is a chain of calls that take no time. Calls to the deepest service fail and answers are lost at random. The
// code of each layer makes several tries to call the next one.
type layers struct {
	cfg     config
	rnd     *rand.Rand
	retrier retrier.Retrier
	id      uint64
	reached int
}

// runLayers implements the command layers. Its results are the most calls of one request that reach the deepest service
// ("reached"), the mean number of them ("calls") and the share of requests that succeed ("answered"):
// "layers depth=n tries=n budget=n|per-hop=n fail=share lost=share requests=n".
func runLayers(ts *testscript.TestScript, _ bool, args []string) {
	cfg, err := parse(args)
	ts.Check(err)
	l := &layers{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.seed, 1))}
	l.retrier = retrier.Retrier{SendsPerHop: cfg.sendsPerHop, ShareRule: cfg.share}
	maxReached, answered, calls := 0, 0, 0
	for range cfg.requests {
		l.reached = 0
		if _, ok := l.execute(0, cfg.budget); ok {
			answered++
		}
		maxReached, calls = max(maxReached, l.reached), calls+l.reached
	}
	results := ts.Value("results").(map[string]float64)
	results["reached"] = float64(maxReached)
	results["answered"] = float64(answered) / float64(cfg.requests)
	results["calls"] = float64(calls) / float64(cfg.requests)
	ts.Logf("reached %d answered %.4g calls %.4g", maxReached, results["answered"], results["calls"])
}

// execute runs a call at the given depth and returns its unspent budget and whether it succeeded.
func (l *layers) execute(depth, budget int) (int, bool) {
	if depth == l.cfg.depth {
		l.reached++
		return budget, l.rnd.Float64() >= l.cfg.fail
	}
	l.id++
	id := l.id
	l.retrier.Open(id, budget, l.cfg.deadline)
	for range l.cfg.tries {
		a, code := l.retrier.Begin(0, id, retrier.Child{Service: "next"})
		if code != hornbeamcroft.CodeAnswered {
			break
		}
		unspent, ok := l.execute(depth+1, a.Share)
		if l.rnd.Float64() < l.cfg.lost {
			l.retrier.EndLost(a)
			continue
		}
		if l.retrier.Return(a, unspent); ok {
			return l.retrier.Close(id), true
		}
	}
	return l.retrier.Close(id), false
}
