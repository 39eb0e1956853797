// Package loader reads and checks the INI settings of a node process. It reports all errors at once, each with
// section, key, value and what is allowed, so that an operator fixes a file in one pass.
package loader

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"hornbeamcroft/parser"
)

// Defaults of the settings. docs/settings-node.md lists them; a test compares page and code.
const (
	DefaultStoreTimeout = 2 * time.Second
	DefaultDrainTimeout = 60 * time.Second
	DefaultLogLevel     = "info"
	DefaultBalancer     = "score"
	DefaultAdmission    = "adaptive"
	DefaultRetries      = "request"
)

// minKeyLength is the least length of a shared key in bytes.
const minKeyLength = 16

// Settings are the checked settings of one node.
type Settings struct {
	Node     NodeSettings
	Store    StoreSettings
	Security SecuritySettings
	Log      LogSettings
	Policy   PolicySettings
}

// NodeSettings is the section [node].
type NodeSettings struct {
	Name            string
	Service         string
	Zone            string
	Listen          string
	OperatorsListen string
	// Upstream is the address of the upstream beside the node; empty for a node that is only an ingress.
	Upstream string
	Peers    []string
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
}

// StoreSettings is the section [store].
type StoreSettings struct {
	Endpoints []string
	Timeout   time.Duration
}

// SecuritySettings is the section [security]. The keys never appear in logs or answers.
type SecuritySettings struct {
	ClusterKey   string
	OperatorsKey string
	// TLSCert, TLSKey and TLSCA name PEM files; with all three set, links between nodes use TLS in both directions.
	TLSCert string
	TLSKey  string
	TLSCA   string
}

// LogSettings is the section [log].
type LogSettings struct {
	Level string
}

// PolicySettings is the section [policy]. Other values than the defaults switch a mechanism off for measurements.
type PolicySettings struct {
	Balancer  string
	Admission string
	Retries   string
}

// Key describes one setting for the reference page.
type Key struct {
	Section, Name, Default, Allowed string
}

// Keys lists all settings in the order of the reference page.
var Keys = []Key{
	{"node", "name", "", "1 to 128 bytes, unique in the system"},
	{"node", "service", "", "a service of the document, or empty for a node without an upstream"},
	{"node", "zone", "", "availability zone, 1 to 128 bytes"},
	{"node", "listen", "", "IP address and port"},
	{"node", "operators-listen", "", "IP address and port"},
	{"node", "upstream", "", "IP address and port, or empty for a node without an upstream"},
	{"node", "peers", "", "IP addresses and ports, separated by spaces"},
	{"node", "drain-timeout", DefaultDrainTimeout.String(), "duration, 1s to 1h"},
	{"store", "endpoints", "", "IP addresses and ports, separated by spaces"},
	{"store", "timeout", DefaultStoreTimeout.String(), "duration, 10ms to 1m"},
	{"security", "cluster-key", "", "at least 16 bytes, the same on all nodes"},
	{"security", "operators-key", "", "at least 16 bytes"},
	{"security", "tls-cert", "", "PEM file, together with tls-key and tls-ca"},
	{"security", "tls-key", "", "PEM file, together with tls-cert and tls-ca"},
	{"security", "tls-ca", "", "PEM file, together with tls-cert and tls-key"},
	{"log", "level", DefaultLogLevel, "debug, info, warn, error"},
	{"policy", "balancer", DefaultBalancer, "score, round-robin"},
	{"policy", "admission", DefaultAdmission, "adaptive, fixed, none"},
	{"policy", "retries", DefaultRetries, "request, per-hop"},
}

// Load parses and checks the text of a settings file.
func Load(text []byte) (Settings, error) {
	file, err := ini.Load(text)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	c := checker{file: file}
	c.checkUnknown(Keys)
	s := Settings{
		Node: NodeSettings{
			Name:            c.text("node", "name", true),
			Service:         c.text("node", "service", false),
			Zone:            c.text("node", "zone", true),
			Listen:          c.address("node", "listen", true),
			OperatorsListen: c.address("node", "operators-listen", true),
			Upstream:        c.address("node", "upstream", false),
			Peers:           c.addresses("node", "peers"),
			DrainTimeout:    c.duration("node", "drain-timeout", DefaultDrainTimeout, time.Second, time.Hour),
		},
		Store: StoreSettings{
			Endpoints: c.addresses("store", "endpoints"),
			Timeout:   c.duration("store", "timeout", DefaultStoreTimeout, 10*time.Millisecond, time.Minute),
		},
		Security: SecuritySettings{
			ClusterKey:   c.key("security", "cluster-key"),
			OperatorsKey: c.key("security", "operators-key"),
			TLSCert:      c.text("security", "tls-cert", false),
			TLSKey:       c.text("security", "tls-key", false),
			TLSCA:        c.text("security", "tls-ca", false),
		},
		Log: LogSettings{Level: c.oneOf("log", "level", DefaultLogLevel, "debug", "info", "warn", "error")},
		Policy: PolicySettings{
			Balancer:  c.oneOf("policy", "balancer", DefaultBalancer, "score", "round-robin"),
			Admission: c.oneOf("policy", "admission", DefaultAdmission, "adaptive", "fixed", "none"),
			Retries:   c.oneOf("policy", "retries", DefaultRetries, "request", "per-hop"),
		},
	}
	c.checkTogether(s)
	if len(c.errs) > 0 {
		return Settings{}, c.errs
	}
	return s, nil
}

// checker collects the errors of one settings file.
type checker struct {
	file *ini.File
	errs parser.Problems
}

func (c *checker) fail(section, key, value, allowed string) {
	c.errs = append(c.errs, parser.Problem{Section: section, Key: key, Value: value, Allowed: "allowed is " + allowed})
}

func (c *checker) checkUnknown(keys []Key) {
	for _, section := range c.file.Sections() {
		for _, key := range section.Keys() {
			known := slices.ContainsFunc(keys, func(k Key) bool {
				return k.Section == section.Name() && k.Name == key.Name()
			})
			if !known {
				c.errs = append(c.errs, parser.Problem{Section: section.Name(), Key: key.Name(), Allowed: "unknown key"})
			}
		}
	}
}

func (c *checker) checkTogether(s Settings) {
	if (s.Node.Service == "") != (s.Node.Upstream == "") {
		c.fail("node", "upstream", s.Node.Upstream, "service and upstream are set together or both empty")
	}
	tls := []string{s.Security.TLSCert, s.Security.TLSKey, s.Security.TLSCA}
	if slices.Contains(tls, "") && strings.Join(tls, "") != "" {
		c.fail("security", "tls-cert", s.Security.TLSCert, "tls-cert, tls-key and tls-ca are set together")
	}
	if len(s.Store.Endpoints) == 0 && len(s.Node.Peers) == 0 {
		c.fail("store", "endpoints", "", "at least one store endpoint or one peer")
	}
}

func (c *checker) text(section, key string, required bool) string {
	v := c.file.Section(section).Key(key).String()
	if len(v) > 4096 || (required && (v == "" || len(v) > 128)) {
		c.fail(section, key, v, "1 to 128 bytes")
	}
	return v
}

func (c *checker) key(section, key string) string {
	v := c.file.Section(section).Key(key).String()
	if len(v) < minKeyLength {
		// The value is a secret and stays out of the message.
		c.fail(section, key, "(not shown)", "at least "+strconv.Itoa(minKeyLength)+" bytes")
	}
	return v
}

func (c *checker) address(section, key string, required bool) string {
	v := c.file.Section(section).Key(key).String()
	if v == "" && !required {
		return v
	}
	if !isAddress(v) {
		c.fail(section, key, v, "IP address and port, for example 127.0.0.1:7101")
	}
	return v
}

func (c *checker) addresses(section, key string) []string {
	list := strings.Fields(c.file.Section(section).Key(key).String())
	for _, v := range list {
		if !isAddress(v) {
			c.fail(section, key, v, "IP addresses and ports, separated by spaces")
		}
	}
	return list
}

func (c *checker) duration(section, key string, preset, low, high time.Duration) time.Duration {
	v := c.file.Section(section).Key(key).String()
	if v == "" {
		return preset
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		c.fail(section, key, v, "duration from "+low.String()+" to "+high.String())
	}
	return d
}

func (c *checker) oneOf(section, key, preset string, allowed ...string) string {
	v := c.file.Section(section).Key(key).String()
	if v == "" {
		return preset
	}
	if !slices.Contains(allowed, v) {
		c.fail(section, key, v, strings.Join(allowed, ", "))
	}
	return v
}

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
