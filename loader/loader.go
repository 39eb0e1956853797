// Package loader reads and checks the INI settings of a node process. It reports all problems of a file at once, so
// that an operator can correct the file in one pass. Each problem names the section, the key, the value unless it is
// secret, and what is allowed.
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

// Default values of settings. docs/settings-node.md lists them; TestReferencePages compares the page with the code.
const (
	DefaultStoreTimeout = 2 * time.Second
	DefaultDrainTimeout = 60 * time.Second
	DefaultLogLevel     = "info"
	DefaultBalancer     = "score"
	DefaultAdmission    = "adaptive"
	DefaultRetries      = "request"
)

// minKeyLength is the minimum length of a shared key in bytes.
const minKeyLength = 16

// Settings holds the checked settings of one node.
type Settings struct {
	Node     NodeSettings
	Store    StoreSettings
	Security SecuritySettings
	Log      LogSettings
	Policy   PolicySettings
}

// NodeSettings holds the values of the section [node].
type NodeSettings struct {
	Name            string
	Service         string
	Zone            string
	Listen          string
	OperatorsListen string
	// Upstream is the address of the local upstream; empty for a node that is only an ingress.
	Upstream string
	// Peers holds the addresses of other nodes.
	Peers []string
	// DrainTimeout is the longest duration of a planned stop.
	DrainTimeout time.Duration
}

// StoreSettings holds the values of the section [store].
type StoreSettings struct {
	Endpoints []string
	Timeout   time.Duration
}

// SecuritySettings holds the values of the section [security]. The keys must never appear in logs or answers.
type SecuritySettings struct {
	ClusterKey   string
	OperatorsKey string
	// TLSCert, TLSKey and TLSCA are paths of PEM files. If all three are set, links between nodes use mutual TLS.
	TLSCert string
	TLSKey  string
	TLSCA   string
}

// LogSettings holds the values of the section [log].
type LogSettings struct {
	Level string
}

// PolicySettings holds the values of the section [policy]. Values other than the defaults replace a mechanism by a
// simpler one, or switch it off, as a baseline for measurements.
type PolicySettings struct {
	Balancer  string
	Admission string
	Retries   string
}

// Key describes one setting for the reference page.
type Key struct {
	Section, Name, Default, Allowed string
}

// Keys lists all settings of a node, in the order of the reference page docs/settings-node.md.
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

// Load parses and checks the text of a node's settings file. If any value is not allowed, the error is a
// parser.Problems that lists every problem.
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
			Peers:           c.spaceAddresses("node", "peers"),
			DrainTimeout:    c.duration("node", "drain-timeout", DefaultDrainTimeout, time.Second, time.Hour),
		},
		Store: StoreSettings{
			Endpoints: c.spaceAddresses("store", "endpoints"),
			Timeout:   c.duration("store", "timeout", DefaultStoreTimeout, 10*time.Millisecond, time.Minute),
		},
		Security: SecuritySettings{
			ClusterKey:   c.sharedKey("security", "cluster-key"),
			OperatorsKey: c.sharedKey("security", "operators-key"),
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
	c.checkCombinations(s)
	if len(c.problems) > 0 {
		return Settings{}, c.problems
	}
	return s, nil
}

// checker reads the values of one settings file and collects those that are not allowed.
type checker struct {
	file     *ini.File
	problems parser.Problems
}

// reject adds a problem with the value of a key. The text of the problem is "must be " followed by allowed.
func (c *checker) reject(section, key, value, allowed string) {
	c.problems = append(c.problems, parser.Problem{Section: section, Key: key, Value: value, Allowed: "must be " + allowed})
}

// checkUnknown adds a problem for each key in the file that is not in keys.
func (c *checker) checkUnknown(keys []Key) {
	for _, section := range c.file.Sections() {
		for _, key := range section.Keys() {
			known := slices.ContainsFunc(keys, func(k Key) bool {
				return k.Section == section.Name() && k.Name == key.Name()
			})
			if !known {
				c.problems = append(c.problems, parser.Problem{Section: section.Name(), Key: key.Name(), Allowed: "unknown key"})
			}
		}
	}
}

// checkCombinations checks the settings that must be set together.
func (c *checker) checkCombinations(s Settings) {
	if (s.Node.Service == "") != (s.Node.Upstream == "") {
		c.reject("node", "upstream", s.Node.Upstream, "set together with service, or not at all")
	}
	tls := []string{s.Security.TLSCert, s.Security.TLSKey, s.Security.TLSCA}
	if slices.Contains(tls, "") && strings.Join(tls, "") != "" {
		c.reject("security", "tls-cert", s.Security.TLSCert, "set together with tls-key and tls-ca, or not at all")
	}
	if len(s.Store.Endpoints) == 0 && len(s.Node.Peers) == 0 {
		c.reject("store", "endpoints", "", "at least one address unless [node] peers has one")
	}
}

// secretValue stands for the value of a secret key in messages.
const secretValue = "(not shown)"

// maxTextLength is the maximum length of an optional text in bytes.
const maxTextLength = 4096

// text reads a text. A required text must have 1 to 128 bytes, an optional one at most maxTextLength. The problem of a text
// that is too long states 1 to 128 bytes in both cases.
func (c *checker) text(section, key string, required bool) string {
	v := c.file.Section(section).Key(key).String()
	if len(v) > maxTextLength || (required && (v == "" || len(v) > 128)) {
		c.reject(section, key, v, "1 to 128 bytes")
	}
	return v
}

// sharedKey reads a secret key of at least minKeyLength bytes.
func (c *checker) sharedKey(section, key string) string {
	v := c.file.Section(section).Key(key).String()
	if len(v) < minKeyLength {
		c.reject(section, key, secretValue, "at least "+strconv.Itoa(minKeyLength)+" bytes")
	}
	return v
}

// optionalKey reads a secret key of at most maxTextLength bytes; empty if it is not set.
func (c *checker) optionalKey(section, key string) string {
	v := c.file.Section(section).Key(key).String()
	if len(v) > maxTextLength {
		c.reject(section, key, secretValue, "at most "+strconv.Itoa(maxTextLength)+" bytes")
	}
	return v
}

// address reads an IP address and a port.
func (c *checker) address(section, key string, required bool) string {
	v := c.file.Section(section).Key(key).String()
	if v == "" && !required {
		return v
	}
	if !isAddress(v) {
		c.reject(section, key, v, "an IP address and port, for example 127.0.0.1:7101")
	}
	return v
}

// spaceAddresses reads addresses that are separated by spaces.
func (c *checker) spaceAddresses(section, key string) []string {
	list := strings.Fields(c.file.Section(section).Key(key).String())
	for _, v := range list {
		if !isAddress(v) {
			c.reject(section, key, v, "IP addresses and ports, separated by spaces")
		}
	}
	return list
}

// duration reads a duration from least to most; fallback is its value if the key is missing or empty.
func (c *checker) duration(section, key string, fallback, least, most time.Duration) time.Duration {
	v := c.file.Section(section).Key(key).String()
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < least || d > most {
		c.reject(section, key, v, "a duration from "+least.String()+" to "+most.String())
	}
	return d
}

// oneOf reads one of the allowed values; fallback is its value if the key is missing or empty.
func (c *checker) oneOf(section, key, fallback string, allowed ...string) string {
	v := c.file.Section(section).Key(key).String()
	if v == "" {
		return fallback
	}
	if !slices.Contains(allowed, v) {
		c.reject(section, key, v, strings.Join(allowed, " or "))
	}
	return v
}

// isAddress reports whether v is an IP address and a port.
func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
