package upstream

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Control holds what can be changed at run time through POST /control.
type Control struct {
	// SlowFactor multiplies the service time; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow-factor"`
	// ErrorShare is the share of requests that run and are answered with 500, 0 to 1.
	ErrorShare float64 `json:"error-share"`
	// Silent leaves all requests unanswered while it is true.
	Silent bool `json:"silent"`
}

// pace decides how long a request takes and whether it fails.
type pace struct {
	cfg     Settings
	started time.Time

	mu      sync.Mutex
	rand    *rand.Rand
	control Control
}

func newPace(cfg Settings) *pace {
	return &pace{
		cfg: cfg, started: time.Now(), rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		control: Control{ErrorShare: cfg.ErrorShare},
	}
}

func (p *pace) get() Control {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.control
}

func (p *pace) set(c Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = c
}

// draw returns the service time of a request of the type that starts now, and whether it fails.
func (p *pace) draw(requestType string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.cfg.ServiceTime
	if t := p.cfg.Types[requestType]; t.ServiceTime > 0 {
		d = t.ServiceTime
	}
	jitter := 1 + p.cfg.Jitter*(2*p.rand.Float64()-1)
	fails := p.rand.Float64() < p.control.ErrorShare
	factor := jitter * p.factor(time.Since(p.started))
	return time.Duration(float64(d) * factor), fails
}

// factor returns the slow-down at the given time after the start. The caller holds mu.
func (p *pace) factor(age time.Duration) float64 {
	f := 1.0
	if p.control.SlowFactor > 0 {
		f *= p.control.SlowFactor
	}
	if p.cfg.SlowFactor > 0 && age >= p.cfg.SlowAfter && age < p.cfg.SlowAfter+p.cfg.SlowTime {
		f *= p.cfg.SlowFactor
	}
	if p.cfg.ColdFactor > 1 && age < p.cfg.ColdTime {
		f *= 1 + (p.cfg.ColdFactor-1)*(1-float64(age)/float64(p.cfg.ColdTime))
	}
	return f
}
