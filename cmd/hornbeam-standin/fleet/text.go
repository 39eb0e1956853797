package fleet

import (
	"fmt"
	"strings"
)

// extraAttempts is the retry budget of all request types.
const extraAttempts = 3

// jitter is the share by which service times vary.
const jitter = 0.3

// owner owns all sections of the document.
const owner = "measurements"

// Document returns the operators' document of the deployment.
func (d Deployment) Document() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[platform]\nowner = %s\n", owner)
	for _, s := range d.Services {
		fmt.Fprintf(&b, "\n[service %s]\nowner = %s\nslots = %d\nconnections = %d\nslow-start = 1s\nzone-delay = %s\n",
			s.Name, owner, s.Slots, s.Connections, d.ZoneDelay)
		if len(s.Calls) > 0 {
			fmt.Fprintf(&b, "calls = %s\n", strings.Join(s.Calls, " "))
		}
		for _, t := range s.withProbes() {
			fmt.Fprintf(&b, "\n[request %s/%s]\nowner = %s\nimportance = %s\nidempotent = %s\ntimeout = %s\nextra-attempts = %d\n",
				s.Name, t.Name, owner, t.Importance, yesNo(t.Idempotent), t.Timeout, extraAttempts)
		}
	}
	for n := range d.UnusedServices {
		name := fmt.Sprintf("unused-%d", n)
		fmt.Fprintf(&b, "\n[service %s]\nowner = %s\nslots = 10\nconnections = 100\n", name, owner)
		for _, t := range []string{"look-up", "order", "deposit"} {
			fmt.Fprintf(&b, "\n[request %s/%s]\nowner = %s\nimportance = low\nidempotent = yes\ntimeout = 1s\n", name, t, owner)
		}
	}
	return b.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// upstreamSettings returns the settings file of the upstream of m.
func (d Deployment) upstreamSettings(s Service, m *Member, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[upstream]\nlisten = %s\ncontrol-listen = %s\nservice = %s\nnode = %s\nslots = %d\nconnections = %d\n",
		m.Upstream, m.Control, s.Name, m.Listen, s.Slots, s.Connections+reservedConnections)
	fmt.Fprintf(&b, "service-time = 1us\njitter = %g\nseed = %d\ntries = %d\nrecord = %s\n", jitter, d.Seed+uint64(n), max(1, d.Tries), m.record)
	for _, t := range s.withProbes() {
		fmt.Fprintf(&b, "\n[type %s]\nservice-time = %s\n", t.Name, t.ServiceTime)
		if len(t.Calls) > 0 {
			fmt.Fprintf(&b, "calls = %s\n", strings.Join(t.Calls, " "))
		}
	}
	return b.String()
}

// reservedConnections are for the node's checks whether its upstream listens, beside the connections for calls.
const reservedConnections = 2

// nodeSettings returns the settings file of the node of m.
func (f *Fleet) nodeSettings(m *Member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nname = %s\nservice = %s\nzone = %s\nlisten = %s\noperators-listen = %s\nupstream = %s\npeers = %s\n",
		m.Name, m.Service, m.Zone, m.Listen, m.Operators, m.nodeUpstream(), strings.Join(f.peers(m), " "))
	fmt.Fprintf(&b, "\n[store]\nendpoints = %s\ntimeout = 2s\n", f.Store)
	fmt.Fprintf(&b, "\n[security]\ncluster-key = %s\noperators-key = %s\n", f.clusterKey, f.OperatorsKey)
	fmt.Fprintf(&b, "\n[log]\nlevel = %s\n", f.LogLevel)
	p := f.Deployment.Policy
	fmt.Fprintf(&b, "\n[policy]\nbalancer = %s\nadmission = %s\nretries = %s\n", p.Balancer, p.Admission, p.Retries)
	return b.String()
}

// peersPerNode is the number of nodes that a node is told of.
const peersPerNode = 3

// peers returns the addresses of a few other nodes, the first ones so that no group of nodes is apart.
func (f *Fleet) peers(m *Member) []string {
	var peers []string
	for _, other := range f.Members {
		if other != m && len(peers) < peersPerNode {
			peers = append(peers, other.Listen)
		}
	}
	return peers
}
