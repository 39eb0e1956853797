package loader

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// AgentSettings are the checked settings of a node that runs on a platform.
type AgentSettings struct {
	Agent AgentSection
	Store AgentStoreSection
	Log   LogSettings
}

// AgentSection is the section [agent].
type AgentSection struct {
	Name    string
	Service string
	Zone    string
	// Ingress takes callers and the own upstream's calls, Links other nodes, Announcements the own upstream's heartbeats,
	// Readiness the platform's question, Metrics the operators.
	Ingress string
	Links   string
	// LinksAnnounced is the address at which other nodes reach Links, where ports are forwarded; Links if it is not set.
	LinksAnnounced string
	Announcements  string
	Readiness      string
	Metrics        string
	Upstream       string
	// Introducers are nodes to ask while the store cannot be reached: the addresses of their announcements.
	Introducers []string
	ClusterKey  string
	// MemoryMB is the memory limit of the process in MiB.
	MemoryMB int
	// Bounds is the platform's list of bounds, as its entries joined by commas.
	Bounds string
}

// AgentStoreSection is the section [platform-store].
type AgentStoreSection struct {
	Address string
}

// AgentKeys lists all settings of an agent in the order of the reference page.
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
	{"agent", "bounds", "", "name=value pairs of the platform, separated by commas"},
	{"platform-store", "address", "", "IP address and port"},
	{"log", "level", DefaultLogLevel, "debug, info, warn, error"},
}

const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// LoadAgent parses and checks the text of an agent's settings file. The error lists all faults as parser.Problems.
func LoadAgent(text []byte) (AgentSettings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return AgentSettings{}, errors.Wrap(err, "settings")
	}
	c := checker{file: file}
	c.checkUnknown(AgentKeys)
	s := AgentSettings{
		Agent: AgentSection{
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
			Introducers:    c.listed("agent", "introducers"),
			ClusterKey:     c.text("agent", "cluster-key", false),
			MemoryMB:       c.number("agent", "memory-mb", minMemoryMB, maxMemoryMB),
			Bounds:         c.file.Section("agent").Key("bounds").String(),
		},
		Store: AgentStoreSection{Address: c.address("platform-store", "address", true)},
		Log:   LogSettings{Level: c.oneOf("log", "level", DefaultLogLevel, "debug", "info", "warn", "error")},
	}
	if s.Agent.LinksAnnounced == "" {
		s.Agent.LinksAnnounced = s.Agent.Links
	}
	if (s.Agent.Service == "") != (s.Agent.Upstream == "") {
		c.fail("agent", "upstream", s.Agent.Upstream, "service and upstream are set together or both empty")
	}
	if len(c.errs) > 0 {
		return AgentSettings{}, c.errs
	}
	return s, nil
}

// listed reads addresses separated by commas.
func (c *checker) listed(section, key string) []string {
	text := c.file.Section(section).Key(key).String()
	if text == "" {
		return nil
	}
	list := strings.Split(text, ",")
	if slices.ContainsFunc(list, func(v string) bool { return !isAddress(v) }) {
		c.fail(section, key, text, "IP addresses and ports, separated by commas")
	}
	return list
}

func (c *checker) number(section, key string, low, high int) int {
	v := c.file.Section(section).Key(key).String()
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		c.fail(section, key, v, strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	return n
}
