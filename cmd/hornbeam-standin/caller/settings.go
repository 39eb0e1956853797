package caller

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Settings describe the load.
type Settings struct {
	// Nodes are the addresses of ingress nodes; each send goes to one of them at random.
	Nodes []string `json:"nodes"`
	// Direct sends to upstreams without a node, for comparison.
	Direct bool `json:"direct,omitempty"`
	// Rate is the mean number of new actions per second, arriving as a Poisson process.
	Rate float64 `json:"rate"`
	// Time is the time over which actions arrive.
	Time time.Duration `json:"time"`
	// Phases change the rate, in ascending order of At.
	Phases []Phase `json:"phases,omitempty"`
	Seed   uint64  `json:"seed"`
	// Label begins the markers, so that loads on the same upstreams are told apart.
	Label string `json:"label"`
	// Tries is the number of sends of an action, with the same key and without a pause; at least 1.
	Tries int `json:"tries"`
	// Crash names a service whose upstreams exit when they run these requests; empty for none.
	Crash string `json:"crash,omitempty"`
	// Fresh opens a new connection for each send. A kept connection that its node closes while a request is being sent
	// would look like an interrupted request.
	Fresh bool `json:"fresh,omitempty"`
	// Timeout bounds each send.
	Timeout time.Duration `json:"timeout"`
	// AnswerBytes is the filler that answers must have.
	AnswerBytes int   `json:"answer-bytes"`
	Mix         []Mix `json:"mix"`
}

// Phase multiplies the rate from At on.
type Phase struct {
	At     time.Duration `json:"at"`
	Factor float64       `json:"factor"`
}

// Mix is the share of one request type.
type Mix struct {
	// Target is service/type.
	Target string  `json:"target"`
	Share  float64 `json:"share"`
}

// Check reports whether the settings are usable.
func (cfg Settings) Check() error {
	if len(cfg.Nodes) == 0 || cfg.Rate <= 0 || cfg.Time <= 0 || cfg.Tries < 1 || cfg.Timeout <= 0 || len(cfg.Mix) == 0 {
		return errors.New("caller: need nodes, a mix, rate > 0, time > 0, timeout > 0 and tries >= 1")
	}
	for _, m := range cfg.Mix {
		if service, kind, ok := strings.Cut(m.Target, "/"); !ok || service == "" || kind == "" || m.Share <= 0 {
			return errors.Errorf("caller: mix %q share %g: need service/type and a share above 0", m.Target, m.Share)
		}
	}
	for i, p := range cfg.Phases {
		if p.Factor <= 0 || (i > 0 && p.At < cfg.Phases[i-1].At) {
			return errors.New("caller: phases need a factor above 0 and ascending times")
		}
	}
	return nil
}

// rateAt returns the rate at the time since the start.
func (cfg Settings) rateAt(at time.Duration) float64 {
	rate := cfg.Rate
	for _, p := range cfg.Phases {
		if at >= p.At {
			rate = cfg.Rate * p.Factor
		}
	}
	return rate
}

// parseMix reads "service/type=share".
func parseMix(text string) (Mix, error) {
	target, share, ok := strings.Cut(text, "=")
	f, err := strconv.ParseFloat(share, 64)
	if !ok || err != nil {
		return Mix{}, errors.Errorf("mix %q: need service/type=share", text)
	}
	return Mix{Target: target, Share: f}, nil
}

// parsePhase reads "time=factor", for example 5s=3.
func parsePhase(text string) (Phase, error) {
	at, factor, ok := strings.Cut(text, "=")
	d, err := time.ParseDuration(at)
	f, err2 := strconv.ParseFloat(factor, 64)
	if !ok || err != nil || err2 != nil {
		return Phase{}, errors.Errorf("phase %q: need time=factor", text)
	}
	return Phase{At: d, Factor: f}, nil
}
