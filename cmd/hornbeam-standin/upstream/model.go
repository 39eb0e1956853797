package upstream

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Control holds the settings that POST /control changes at run time.
type Control struct {
	// SlowFactor multiplies the service time, in addition to the factors of Settings; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow-factor"`
	// ErrorShare is the share of requests, from 0 to 1, that run and are answered with status 500. It is
	// initially Settings.ErrorShare.
	ErrorShare float64 `json:"error-share"`
	// Silent means that requests run but are not answered.
	Silent bool `json:"silent"`
}

// serviceModel determines how long a request takes and whether it fails.
type serviceModel struct {
	cfg     Settings
	started time.Time

	// mu guards rand and control.
	mu      sync.Mutex
	rand    *rand.Rand
	control Control
}

func newServiceModel(cfg Settings) *serviceModel {
	return &serviceModel{
		cfg: cfg, started: time.Now(), rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		control: Control{ErrorShare: cfg.ErrorShare},
	}
}

func (m *serviceModel) currentControl() Control {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.control
}

func (m *serviceModel) setControl(c Control) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.control = c
}

// draw draws the service time of a request of the type that starts now, and whether the request fails.
func (m *serviceModel) draw(requestType string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.cfg.ServiceTime
	if t := m.cfg.Types[requestType]; t.ServiceTime > 0 {
		d = t.ServiceTime
	}
	jitter := 1 + m.cfg.Jitter*(2*m.rand.Float64()-1)
	fail := m.rand.Float64() < m.control.ErrorShare
	factor := jitter * m.slowdown(time.Since(m.started))
	return time.Duration(float64(d) * factor), fail
}

// slowdown returns the factor on the service time at the given time since the start: the product of Control.SlowFactor,
// Settings.SlowFactor and the decreasing Settings.ColdFactor. The caller must hold mu.
func (m *serviceModel) slowdown(age time.Duration) float64 {
	f := 1.0
	if m.control.SlowFactor > 0 {
		f *= m.control.SlowFactor
	}
	if m.cfg.SlowFactor > 0 && age >= m.cfg.SlowAfter && age < m.cfg.SlowAfter+m.cfg.SlowTime {
		f *= m.cfg.SlowFactor
	}
	if m.cfg.ColdFactor > 1 && age < m.cfg.ColdTime {
		f *= 1 + (m.cfg.ColdFactor-1)*(1-float64(age)/float64(m.cfg.ColdTime))
	}
	return f
}
