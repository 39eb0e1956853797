package upstream

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// HealthMode determines what the health endpoint answers.
type HealthMode string

// The health modes.
const (
	// HealthHonest answers 503 while Control makes the upstream silent, slow or fail requests, and 200 otherwise. It does
	// not take SlowFactor and ColdFactor of Settings into account.
	HealthHonest HealthMode = "honest"
	// HealthAlwaysGood always answers 200.
	HealthAlwaysGood HealthMode = "always-good"
	// HealthAlwaysBad always answers 503.
	HealthAlwaysBad HealthMode = "always-bad"
)

// Settings describe one simulated upstream.
type Settings struct {
	// Listen is the address on which calls are served; port 0 picks a free port.
	Listen string `ini:"listen"`
	// ControlListen is the address of the control endpoint. Its connections do not count against Connections.
	ControlListen string `ini:"control-listen"`
	// Service is the name of the upstream's service.
	Service string `ini:"service"`
	// Node is the address of the upstream's own node, to which child calls are sent.
	Node string `ini:"node"`
	// Slots is the maximum number of requests that run at once; further ones wait in order of arrival.
	Slots int `ini:"slots"`
	// Connections is the maximum number of open connections; further ones are closed immediately.
	Connections int `ini:"connections"`
	// ServiceTime is the mean time that a request takes without its child calls.
	ServiceTime time.Duration `ini:"service-time"`
	// Jitter is the share, from 0 to 1, by which the service time varies at most in either direction.
	Jitter float64 `ini:"jitter"`
	// Seed is the seed of the service times and of the injected errors.
	Seed uint64 `ini:"seed"`
	// SlowFactor multiplies the service time for the duration SlowTime, beginning SlowAfter after the start of the
	// process; 0 and 1 have no effect.
	SlowFactor float64       `ini:"slow-factor"`
	SlowAfter  time.Duration `ini:"slow-after"`
	SlowTime   time.Duration `ini:"slow-time"`
	// ColdFactor multiplies the service time at the start of the process. It decreases linearly to 1 over ColdTime; values
	// up to 1 have no effect.
	ColdFactor float64       `ini:"cold-factor"`
	ColdTime   time.Duration `ini:"cold-time"`
	// ErrorShare is the share of requests, from 0 to 1, that run and are answered with status 500.
	ErrorShare float64    `ini:"error-share"`
	Health     HealthMode `ini:"health"`
	// Tries is the maximum number of times that the upstream sends a child call; at least 1. It simulates retries of an
	// application on its own.
	Tries int `ini:"tries"`

	// Record is the name of a file to which the start and the end of each run are appended, so that the record survives
	// when the process is killed. Empty means that no file is written.
	Record string `ini:"record"`

	// Types are the request types by name. A type that is not listed takes ServiceTime and makes no child calls.
	Types map[string]Type `ini:"-"`
}

// Type describes one request type of the upstream.
type Type struct {
	// ServiceTime replaces Settings.ServiceTime if it is above zero.
	ServiceTime time.Duration `ini:"service-time"`
	// Calls lists the child calls as service/type, in the order in which they are made.
	Calls []string `ini:"calls" delim:" "`
	// OwnKey means that the upstream sends an Idempotency-Key with child calls; otherwise the node derives one.
	OwnKey bool `ini:"own-key"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Listen: "127.0.0.1:0", ControlListen: "127.0.0.1:0", Slots: 10, Connections: 100,
		ServiceTime: 10 * time.Millisecond, Jitter: 0.2, Seed: 1, Health: HealthHonest, Tries: 1,
	}
}

// Load reads and checks settings. The source is the name of an INI file or its content as a byte slice.
func Load(source any) (Settings, error) {
	cfg := Defaults()
	file, err := ini.Load(source)
	if err != nil {
		return cfg, errors.Wrap(err, "read settings")
	}
	if err := file.Section("upstream").StrictMapTo(&cfg); err != nil {
		return cfg, errors.Wrap(err, "section [upstream]")
	}
	cfg.Types = make(map[string]Type)
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), "type ")
		if !ok {
			continue
		}
		var t Type
		if err := section.StrictMapTo(&t); err != nil {
			return cfg, errors.Wrapf(err, "section [type %s]", name)
		}
		cfg.Types[name] = t
	}
	return cfg, cfg.Check()
}

// Check returns an error if the settings are incomplete or out of range.
func (cfg Settings) Check() error {
	if cfg.Service == "" {
		return errors.New("service is missing")
	}
	if cfg.Slots < 1 || cfg.Connections < cfg.Slots || cfg.Tries < 1 {
		return errors.New("need slots >= 1, connections >= slots and tries >= 1")
	}
	if cfg.Jitter < 0 || cfg.Jitter > 1 || cfg.ErrorShare < 0 || cfg.ErrorShare > 1 {
		return errors.New("need jitter and error-share from 0 to 1")
	}
	switch cfg.Health {
	case HealthHonest, HealthAlwaysGood, HealthAlwaysBad:
	default:
		return errors.Errorf("health %q: must be one of honest, always-good, always-bad", cfg.Health)
	}
	for name, t := range cfg.Types {
		for _, target := range t.Calls {
			if service, kind, ok := strings.Cut(target, "/"); !ok || service == "" || kind == "" {
				return errors.Errorf("type %s: call %q: need service/type", name, target)
			}
		}
		if len(t.Calls) > 0 && cfg.Node == "" {
			return errors.Errorf("type %s: child calls need the address of the upstream's node", name)
		}
	}
	return nil
}
