package upstream

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// HealthMode says what the health endpoint answers.
type HealthMode string

// The health modes.
const (
	// HealthHonest answers 503 while the upstream is silent, slowed or fails requests.
	HealthHonest HealthMode = "honest"
	// HealthAlwaysGood answers 200 whatever the state.
	HealthAlwaysGood HealthMode = "always-good"
	// HealthAlwaysBad answers 503 whatever the state.
	HealthAlwaysBad HealthMode = "always-bad"
)

// Settings describe one stand-in upstream.
type Settings struct {
	// Listen is the address for calls; port 0 picks a free port.
	Listen string `ini:"listen"`
	// ControlListen is the address of the control endpoint; it does not count against Connections.
	ControlListen string `ini:"control-listen"`
	Service       string `ini:"service"`
	// Node is the address of the upstream's own node, to which child calls are sent.
	Node string `ini:"node"`
	// Slots is the number of requests that run at once; further ones wait in order of arrival.
	Slots int `ini:"slots"`
	// Connections is the number of open connections; further ones are closed at once.
	Connections int `ini:"connections"`
	// ServiceTime is the own work of a request, without child calls.
	ServiceTime time.Duration `ini:"service-time"`
	// Jitter is the share by which the service time varies, 0 to 1.
	Jitter float64 `ini:"jitter"`
	Seed   uint64  `ini:"seed"`
	// SlowFactor multiplies the service time from SlowAfter after the start for SlowTime; 0 and 1 have no effect.
	SlowFactor float64       `ini:"slow-factor"`
	SlowAfter  time.Duration `ini:"slow-after"`
	SlowTime   time.Duration `ini:"slow-time"`
	// ColdFactor multiplies the service time at the start and falls linearly to 1 over ColdTime.
	ColdFactor float64       `ini:"cold-factor"`
	ColdTime   time.Duration `ini:"cold-time"`
	// ErrorShare is the share of requests that run and are answered with 500, 0 to 1.
	ErrorShare float64    `ini:"error-share"`
	Health     HealthMode `ini:"health"`
	// Tries is the number of times that the upstream's own code tries a child call; at least 1.
	Tries int `ini:"tries"`

	// Record names a file to which each start and end of a run is appended, so that the record survives a kill; empty
	// for none.
	Record string `ini:"record"`

	// Types by name. A type that is not listed has the ServiceTime and no child calls.
	Types map[string]Type `ini:"-"`
}

// Type describes one request type of the upstream.
type Type struct {
	// ServiceTime replaces that of the Settings if it is above zero.
	ServiceTime time.Duration `ini:"service-time"`
	// Calls lists child calls as service/type, made one after the other.
	Calls []string `ini:"calls" delim:" "`
	// OwnKey sends an Idempotency-Key with child calls; otherwise the node derives one.
	OwnKey bool `ini:"own-key"`
}

// Defaults returns the settings that apply where none are given.
func Defaults() Settings {
	return Settings{
		Listen: "127.0.0.1:0", ControlListen: "127.0.0.1:0", Slots: 10, Connections: 100,
		ServiceTime: 10 * time.Millisecond, Jitter: 0.2, Seed: 1, Health: HealthHonest, Tries: 1,
	}
}

// Load reads settings from an INI file or from its text as bytes.
func Load(source any) (Settings, error) {
	cfg := Defaults()
	file, err := ini.Load(source)
	if err != nil {
		return cfg, errors.Wrap(err, "read settings")
	}
	if err := file.Section("upstream").StrictMapTo(&cfg); err != nil {
		return cfg, errors.Wrap(err, "section upstream")
	}
	cfg.Types = make(map[string]Type)
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), "type ")
		if !ok {
			continue
		}
		var t Type
		if err := section.StrictMapTo(&t); err != nil {
			return cfg, errors.Wrapf(err, "section type %s", name)
		}
		cfg.Types[name] = t
	}
	return cfg, cfg.Check()
}

// Check reports whether the settings are usable.
func (cfg Settings) Check() error {
	if cfg.Service == "" {
		return errors.New("service is missing")
	}
	if cfg.Slots < 1 || cfg.Connections < cfg.Slots || cfg.Tries < 1 {
		return errors.New("need slots >= 1, connections >= slots and tries >= 1")
	}
	if cfg.Jitter < 0 || cfg.Jitter > 1 || cfg.ErrorShare < 0 || cfg.ErrorShare > 1 {
		return errors.New("jitter and error-share are shares from 0 to 1")
	}
	switch cfg.Health {
	case HealthHonest, HealthAlwaysGood, HealthAlwaysBad:
	default:
		return errors.Errorf("health %q: allowed are honest, always-good, always-bad", cfg.Health)
	}
	for name, t := range cfg.Types {
		for _, call := range t.Calls {
			if service, kind, ok := strings.Cut(call, "/"); !ok || service == "" || kind == "" {
				return errors.Errorf("type %s: call %q: need service/type", name, call)
			}
		}
		if len(t.Calls) > 0 && cfg.Node == "" {
			return errors.Errorf("type %s: child calls need the address of the node", name)
		}
	}
	return nil
}
