package scenarios

import (
	"strconv"
	"strings"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/retrier"

	"github.com/go-faster/errors"
)

// config holds the parameters of the commands chain and layers. Parameters in a script have the names that the methods
// floats, ints, durations and setText list. Rates are actions per second. The overload or fault of a script is active
// between the times from and to.
type config struct {
	seed                                                              uint64
	services, upstreams, slots                                        int
	cores, low, high, background, slow, probe, maxEjected, lost, fail float64
	work, deadline, end, from, to, join                               time.Duration
	zoneDelay, slowStart, halfLife, resend, lostFrom, queueTime       time.Duration
	tries, sendsPerHop, budget, callerTries, depth, requests          int
	admission, balancer                                               string
	independent, pressure, trace                                      bool
	share                                                             retrier.ShareRule
	traits                                                            map[int]trait
}

// trait is how the upstreams with one index differ from the others of their services. slow multiplies the work time,
// fail is the share of calls that fail, and cold upstreams join late with few cores.
type trait struct {
	zone       string
	slow, fail float64
	cold       bool
	state      hornbeamcroft.MemberState
}

// trait returns the traits of the upstreams with the index.
func (c config) trait(i int) trait {
	if t, ok := c.traits[i]; ok {
		return t
	}
	return trait{zone: "a", slow: 1, state: hornbeamcroft.MemberServing}
}

// defaults returns the parameters that apply unless a script sets them.
func defaults() config {
	return config{
		seed: 1, services: 1, upstreams: 1, slots: 50, cores: 10, slow: 1, work: 10 * time.Millisecond,
		deadline: time.Second, end: 20 * time.Second, tries: 1, callerTries: 1, requests: 1, fail: 1, resend: 10 * time.Millisecond,
		admission: "adaptive", balancer: "score", pressure: true, traits: map[int]trait{},
	}
}

// shareRules lists the rules by which a call passes a part of its retry budget to a child call.
var shareRules = map[string]retrier.ShareRule{
	"half": retrier.HalfShare, "whole": retrier.WholeShare,
	"quarter":        func(held int) int { return (held + 3) / 4 },
	"three-quarters": func(held int) int { return (3*held + 3) / 4 },
	"third":          func(held int) int { return (held + 2) / 3 },
	"two-thirds":     func(held int) int { return (2*held + 2) / 3 },
	"one":            func(held int) int { return min(held, 1) },
	"all-but-one":    func(held int) int { return max(held-1, min(held, 1)) },
}

// parse reads arguments of the form name=value. A name such as u1.slow sets a trait of the upstreams with index 1.
func parse(args []string) (config, error) {
	c := defaults()
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		if err := c.set(name, value); err != nil {
			return c, errors.Wrap(err, arg)
		}
	}
	return c, nil
}

func (c *config) set(name, value string) error {
	if u, rest, ok := strings.Cut(name, "."); ok {
		i, err := strconv.Atoi(strings.TrimPrefix(u, "u"))
		t := c.trait(i)
		t.set(rest, value)
		c.traits[i] = t
		return err
	}
	f, floatErr := strconv.ParseFloat(value, 64)
	d, durationErr := time.ParseDuration(value)
	if p := c.floats()[name]; p != nil {
		*p = f
		return floatErr
	}
	if p := c.ints()[name]; p != nil {
		*p = int(f)
		return floatErr
	}
	if p := c.durations()[name]; p != nil {
		*p = d
		return durationErr
	}
	return c.setText(name, value)
}

func (c *config) floats() map[string]*float64 {
	return map[string]*float64{
		"cores": &c.cores, "low": &c.low, "high": &c.high, "background": &c.background, "slow": &c.slow,
		"probe": &c.probe, "max-ejected": &c.maxEjected, "lost": &c.lost, "fail": &c.fail,
	}
}

func (c *config) ints() map[string]*int {
	return map[string]*int{
		"services": &c.services, "upstreams": &c.upstreams, "slots": &c.slots, "tries": &c.tries,
		"per-hop": &c.sendsPerHop, "budget": &c.budget, "caller-tries": &c.callerTries,
		"depth": &c.depth, "requests": &c.requests,
	}
}

func (c *config) durations() map[string]*time.Duration {
	return map[string]*time.Duration{
		"work": &c.work, "deadline": &c.deadline, "end": &c.end, "from": &c.from, "to": &c.to, "join": &c.join,
		"zone-delay": &c.zoneDelay, "slow-start": &c.slowStart, "half-life": &c.halfLife, "resend": &c.resend,
		"lost-from": &c.lostFrom, "queue-time": &c.queueTime,
	}
}

func (c *config) setText(name, value string) error {
	switch name {
	case "admission":
		c.admission = value
	case "balancer":
		c.balancer = value
	case "hash":
		c.independent = value == "independent"
	case "pressure":
		c.pressure = value == "on"
	case "trace":
		c.trace = value == "on"
	case "share":
		c.share = shareRules[value]
	case "seed":
		n, err := strconv.ParseUint(value, 10, 64)
		c.seed = n
		return err
	default:
		return errors.New("unknown parameter")
	}
	return nil
}

func (t *trait) set(name, value string) {
	f, _ := strconv.ParseFloat(value, 64)
	switch name {
	case "zone":
		t.zone = value
	case "slow":
		t.slow = f
	case "fail":
		t.fail = f
	case "cold":
		t.cold = value == "true"
	case "draining":
		t.state = hornbeamcroft.MemberDraining
	}
}
