package caller

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Settings describe a load.
type Settings struct {
	// Nodes are the addresses of the ingress nodes; each send goes to one of them, drawn at random.
	Nodes []string `json:"nodes"`
	// BypassNodes means that Nodes are the addresses of upstreams, which are called without a node. Benchmarks use it
	// as the baseline.
	BypassNodes bool `json:"direct,omitempty"`
	// Rate is the mean number of new actions per second; arrivals are a Poisson process.
	Rate float64 `json:"rate"`
	// Length is the length of the load; no action arrives later.
	Length time.Duration `json:"time"`
	// Phases multiply the rate from given times on, in ascending order of At.
	Phases []Phase `json:"phases,omitempty"`
	// Seed is the seed of arrivals, request types and nodes.
	Seed uint64 `json:"seed"`
	// Label is the prefix of all markers. It tells loads on the same upstreams apart.
	Label string `json:"label"`
	// MaxSends is the maximum number of sends of an action, with the same key and without a pause between them; at
	// least 1.
	MaxSends int `json:"tries"`
	// Crash names a service whose upstreams exit when they start to run a request of this load; empty for none.
	Crash string `json:"crash,omitempty"`
	// NewConnections opens a new connection for each send. If a node closed an idle connection just as a request was
	// sent on it, the send would look like an interrupted request.
	NewConnections bool `json:"fresh,omitempty"`
	// Timeout is the Request-Timeout header of each send. The caller itself waits longer by timeoutMargin.
	Timeout time.Duration `json:"timeout"`
	// AnswerBytes is the number of filler bytes that each answer must contain.
	AnswerBytes int `json:"answer-bytes"`
	// Mix lists the request types and their shares.
	Mix []Mix `json:"mix"`
}

// Phase multiplies Settings.Rate by Factor from At on, until the next phase begins.
type Phase struct {
	// At counts from the start of the load.
	At     time.Duration `json:"at"`
	Factor float64       `json:"factor"`
}

// Mix is one request type of a load and its share of the actions.
type Mix struct {
	// Target is service/type.
	Target string `json:"target"`
	// Share is relative to the sum of all shares.
	Share float64 `json:"share"`
}

// Check returns an error if the settings are incomplete or out of range.
func (cfg Settings) Check() error {
	if len(cfg.Nodes) == 0 || cfg.Rate <= 0 || cfg.Length <= 0 || cfg.MaxSends < 1 || cfg.Timeout <= 0 || len(cfg.Mix) == 0 {
		return errors.New("caller settings: need at least one node and one mix entry, rate > 0, time > 0, timeout > 0 and tries >= 1")
	}
	for _, m := range cfg.Mix {
		if service, kind, ok := strings.Cut(m.Target, "/"); !ok || service == "" || kind == "" || m.Share <= 0 {
			return errors.Errorf("caller settings: mix %q with share %g: need service/type and a share above 0", m.Target, m.Share)
		}
	}
	for i, p := range cfg.Phases {
		if p.Factor <= 0 || (i > 0 && p.At < cfg.Phases[i-1].At) {
			return errors.New("caller settings: phases need factors above 0 and times in ascending order")
		}
	}
	return nil
}

// rateAt returns the rate in actions per second at a time counted from the start of the load.
func (cfg Settings) rateAt(at time.Duration) float64 {
	rate := cfg.Rate
	for _, p := range cfg.Phases {
		if at >= p.At {
			rate = cfg.Rate * p.Factor
		}
	}
	return rate
}

// parseMix parses "service/type=share".
func parseMix(text string) (Mix, error) {
	target, share, ok := strings.Cut(text, "=")
	f, err := strconv.ParseFloat(share, 64)
	if !ok || err != nil {
		return Mix{}, errors.Errorf("mix %q: need service/type=share", text)
	}
	return Mix{Target: target, Share: f}, nil
}

// parsePhase parses "time=factor", for example "5s=3".
func parsePhase(text string) (Phase, error) {
	at, factor, ok := strings.Cut(text, "=")
	start, err := time.ParseDuration(at)
	f, factorErr := strconv.ParseFloat(factor, 64)
	if !ok || err != nil || factorErr != nil {
		return Phase{}, errors.Errorf("phase %q: need time=factor", text)
	}
	return Phase{At: start, Factor: f}, nil
}
