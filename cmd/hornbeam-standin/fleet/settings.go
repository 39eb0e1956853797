package fleet

import (
	"fmt"
	"strings"
)

// extraAttempts is the retry budget of each request type, for the whole call graph of a request.
const extraAttempts = 3

// jitter is the maximum share of the service time by which a run is shorter or longer.
const jitter = 0.3

// documentOwner is the owner of every section of the document.
const documentOwner = "measurements"

// Document returns the operators' document of the deployment as INI text.
func (d Deployment) Document() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[platform]\nowner = %s\n", documentOwner)
	for _, s := range d.Services {
		fmt.Fprintf(&b, "\n[service %s]\nowner = %s\nslots = %d\nconnections = %d\nslow-start = 1s\nzone-delay = %s\n",
			s.Name, documentOwner, s.Slots, s.Connections, d.ZoneDelay)
		if len(s.Calls) > 0 {
			fmt.Fprintf(&b, "calls = %s\n", strings.Join(s.Calls, " "))
		}
		for _, t := range s.withProbes() {
			fmt.Fprintf(&b, "\n[request %s/%s]\nowner = %s\nimportance = %s\nidempotent = %s\ntimeout = %s\nextra-attempts = %d\n",
				s.Name, t.Name, documentOwner, t.Importance, yesNo(t.Idempotent), t.Timeout, extraAttempts)
		}
	}
	for n := range d.UnusedServices {
		name := fmt.Sprintf("unused-%d", n)
		fmt.Fprintf(&b, "\n[service %s]\nowner = %s\nslots = 10\nconnections = 100\n", name, documentOwner)
		for _, t := range []string{"look-up", "order", "deposit"} {
			fmt.Fprintf(&b, "\n[request %s/%s]\nowner = %s\nimportance = low\nidempotent = yes\ntimeout = 1s\n", name, t, documentOwner)
		}
	}
	return b.String()
}

// yesNo returns b as a boolean value of the document.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// upstreamSettings returns the text of the settings file of the upstream of m. n is the index of m in the fleet; it gives each
// upstream a seed of its own.
func (d Deployment) upstreamSettings(s Service, m *Member, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[upstream]\nlisten = %s\ncontrol-listen = %s\nservice = %s\nnode = %s\nslots = %d\nconnections = %d\n",
		m.Upstream, m.Control, s.Name, m.Listen, s.Slots, s.Connections+checkConnections)
	fmt.Fprintf(&b, "service-time = 1us\njitter = %g\nseed = %d\ntries = %d\nrecord = %s\n", jitter, d.Seed+uint64(n), max(1, d.Tries), m.recordFile)
	for _, t := range s.withProbes() {
		fmt.Fprintf(&b, "\n[type %s]\nservice-time = %s\n", t.Name, t.ServiceTime)
		if len(t.Calls) > 0 {
			fmt.Fprintf(&b, "calls = %s\n", strings.Join(t.Calls, " "))
		}
	}
	return b.String()
}

// checkConnections is the number of connections that an upstream accepts beyond those for calls. The node opens them to check
// whether its upstream listens.
const checkConnections = 2

// nodeSettings returns the text of the settings file of the node of m.
func (f *Fleet) nodeSettings(m *Member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nname = %s\nservice = %s\nzone = %s\nlisten = %s\noperators-listen = %s\nupstream = %s\npeers = %s\n",
		m.Name, m.Service, m.Zone, m.Listen, m.Operators, m.effectiveUpstreamAddress(), strings.Join(f.peersOf(m), " "))
	fmt.Fprintf(&b, "\n[store]\nendpoints = %s\ntimeout = 2s\n", f.Store)
	fmt.Fprintf(&b, "\n[security]\ncluster-key = %s\noperators-key = %s\n", f.clusterKey, f.OperatorsKey)
	fmt.Fprintf(&b, "\n[log]\nlevel = %s\n", f.LogLevel)
	p := f.Deployment.Policy
	fmt.Fprintf(&b, "\n[policy]\nbalancer = %s\nadmission = %s\nretries = %s\n", p.Balancer, p.Admission, p.Retries)
	return b.String()
}

// peersPerNode is the maximum number of peers in the settings of a node.
const peersPerNode = 3

// peersOf returns the addresses of the first peersPerNode members other than m. All nodes have peers among the same
// few, so that no group of nodes stays separate from the others.
func (f *Fleet) peersOf(m *Member) []string {
	var peers []string
	for _, other := range f.Members {
		if other != m && len(peers) < peersPerNode {
			peers = append(peers, other.Listen)
		}
	}
	return peers
}
