package loader

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// AgentSettings holds the checked settings of an agent, that is, a node on a platform.
type AgentSettings struct {
	Agent AgentNodeSettings
	Store AgentStoreSettings
	Log   LogSettings
}

// AgentNodeSettings holds the values of the section [agent]. Addresses consist of an IP address and a port.
type AgentNodeSettings struct {
	Name    string
	Service string
	Zone    string
	// Ingress is the address for calls of external callers and of the local upstream.
	Ingress string
	// Links is the address for links of other nodes.
	Links string
	// LinksAnnounced is the address at which other nodes reach Links. It differs from Links where ports are forwarded,
	// and equals Links if it is not set in the file.
	LinksAnnounced string
	// Announcements is the address for heartbeats of the local upstream.
	Announcements string
	// Readiness is the address at which the platform queries whether the agent is ready.
	Readiness string
	// Metrics is the address at which operators read the metrics.
	Metrics string
	// Upstream is the address of the local upstream; empty for a host without one.
	Upstream string
	// Introducers holds the Announcements addresses of other nodes. A starting agent dials these nodes until a
	// configuration is in force, so that it can start while the store is unreachable.
	Introducers []string
	// ClusterKey is the key that all nodes share. Links of nodes with another key are refused.
	ClusterKey string
	// MemoryMB is the memory limit of the process in MiB.
	MemoryMB int
	// Connections is the maximum number of callers' connections, HeadsMB the memory of their heads in MiB. Zero means that they
	// follow from the limit of descriptors and from MemoryMB.
	Connections int
	HeadsMB     int
	// Ahead is the maximum number of requests of one connection that run at the same time.
	Ahead int
	// Placement is the rule by which calls are placed: PlacementTwoChoices, PlacementEven or PlacementAuto.
	Placement string
	// Bounds holds the limits that the platform sets, as name=value pairs separated by commas.
	Bounds string
}

// Values of the setting placement.
const (
	PlacementTwoChoices = "two-choices"
	PlacementEven       = "even"
	PlacementAuto       = "auto"
)

// AgentStoreSettings holds the values of the section [platform-store].
type AgentStoreSettings struct {
	Address string
}

// AgentKeys lists all settings of an agent, in the order of the reference page docs/settings-agent.md.
// TestReferencePages compares the page with this list.
var AgentKeys = []Key{
	{"agent", "name", "", "1 to 128 bytes, unique in the system"},
	{"agent", "service", "", "the upstream's service, or empty for a host without an upstream"},
	{"agent", "zone", "", "availability zone, 1 to 128 bytes"},
	{"agent", "way-in", "", "IP address and port"},
	{"agent", "links", "", "IP address and port"},
	{"agent", "links-announced", "", "IP address and port at which other nodes reach links, if it is another one"},
	{"agent", "announcements", "", "IP address and port"},
	{"agent", "readiness", "", "IP address and port"},
	{"agent", "metrics", "", "IP address and port"},
	{"agent", "upstream", "", "IP address and port, or empty for a host without an upstream"},
	{"agent", "introducers", "", "IP addresses and ports, separated by commas"},
	{"agent", "cluster-key", "", "the same on all nodes; links of nodes with another key are refused"},
	{"agent", "memory-mb", "", "MiB, 32 to 1048576"},
	{"agent", "way-in-connections", "0", "0 to 1048576; 0: follows from the limit of descriptors and memory-mb"},
	{"agent", "way-in-heads-mb", "0", "MiB, 0 to 1048576; 0: an eighth of memory-mb"},
	{"agent", "way-in-ahead", "16", "1 to 1024 requests of one connection that run at the same time"},
	{"agent", "placement", PlacementTwoChoices, "two-choices, even, auto"},
	{"agent", "bounds", "", "name=value pairs of the platform, separated by commas"},
	{"platform-store", "address", "", "IP address and port"},
	{"log", "level", DefaultLogLevel, "debug, info, warn, error"},
}

// Bounds of the setting memory-mb in MiB.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

const (
	// maxConnections is the maximum of way-in-connections.
	maxConnections = 1 << 20
	// defaultAhead and maxAhead are the default and the maximum of way-in-ahead.
	defaultAhead = 16
	maxAhead     = 1024
)

// LoadAgent parses and checks the text of an agent's settings file. If any value is not allowed, the error is a
// parser.Problems that lists every problem.
func LoadAgent(text []byte) (AgentSettings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return AgentSettings{}, errors.Wrap(err, "settings")
	}
	c := checker{file: file}
	c.checkUnknown(AgentKeys)
	s := AgentSettings{
		Agent: AgentNodeSettings{
			Name:           c.text("agent", "name", true),
			Service:        c.text("agent", "service", false),
			Zone:           c.text("agent", "zone", true),
			Ingress:        c.address("agent", "way-in", true),
			Links:          c.address("agent", "links", true),
			LinksAnnounced: c.address("agent", "links-announced", false),
			Announcements:  c.address("agent", "announcements", true),
			Readiness:      c.address("agent", "readiness", true),
			Metrics:        c.address("agent", "metrics", true),
			Upstream:       c.address("agent", "upstream", false),
			Introducers:    c.commaAddresses("agent", "introducers"),
			ClusterKey:     c.optionalKey("agent", "cluster-key"),
			MemoryMB:       c.number("agent", "memory-mb", minMemoryMB, maxMemoryMB),
			Connections:    c.optionalNumber("agent", "way-in-connections", 0, maxConnections, 0),
			HeadsMB:        c.optionalNumber("agent", "way-in-heads-mb", 0, maxMemoryMB, 0),
			Ahead:          c.optionalNumber("agent", "way-in-ahead", 1, maxAhead, defaultAhead),
			Placement:      c.oneOf("agent", "placement", PlacementTwoChoices, PlacementTwoChoices, PlacementEven, PlacementAuto),
			Bounds:         c.file.Section("agent").Key("bounds").String(),
		},
		Store: AgentStoreSettings{Address: c.address("platform-store", "address", true)},
		Log:   LogSettings{Level: c.oneOf("log", "level", DefaultLogLevel, "debug", "info", "warn", "error")},
	}
	if s.Agent.LinksAnnounced == "" {
		s.Agent.LinksAnnounced = s.Agent.Links
	}
	if (s.Agent.Service == "") != (s.Agent.Upstream == "") {
		c.reject("agent", "upstream", s.Agent.Upstream, "set together with service, or not at all")
	}
	if len(c.problems) > 0 {
		return AgentSettings{}, c.problems
	}
	return s, nil
}

// commaAddresses reads addresses that are separated by commas.
func (c *checker) commaAddresses(section, key string) []string {
	text := c.file.Section(section).Key(key).String()
	if text == "" {
		return nil
	}
	list := strings.Split(text, ",")
	if slices.ContainsFunc(list, func(v string) bool { return !isAddress(v) }) {
		c.reject(section, key, text, "IP addresses and ports, separated by commas")
	}
	return list
}

// optionalNumber reads an integer from least to most, or returns the default if the file has none.
func (c *checker) optionalNumber(section, key string, least, most, value int) int {
	if c.file.Section(section).Key(key).String() == "" {
		return value
	}
	return c.number(section, key, least, most)
}

// number reads an integer from least to most.
func (c *checker) number(section, key string, least, most int) int {
	v := c.file.Section(section).Key(key).String()
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		c.reject(section, key, v, strconv.Itoa(least)+" to "+strconv.Itoa(most))
	}
	return n
}
