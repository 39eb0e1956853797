// Package fleet runs a deployment as separate processes on loopback: the stand-in of the platform, the stand-ins of the upstreams
// and a node for each upstream.
package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"hornbeamcroft/platform/standin/portallocator"
)

// Fleet is a deployment with its processes. Set the first group of exported fields before Prepare or Start and do not change them
// afterwards. Prepare sets the second group.
type Fleet struct {
	Deployment Deployment
	// Binaries is the directory of the programs hornbeam-node and hornbeam-standin.
	Binaries string
	// Dir is the directory for settings files, logs and execution records; it must exist.
	Dir string
	// LogLevel is the nodes' log level; warn if empty.
	LogLevel string
	// UpstreamAddress returns the address at which the node of the named member reaches its upstream. Tests set it to
	// put a proxy between the two. If it is nil, nodes use the address of the upstream.
	UpstreamAddress func(member, upstream string) string

	// Store is the address of the platform.
	Store string
	// OperatorsKey authorizes requests to the operators' endpoints of the nodes.
	OperatorsKey string
	// Members lists the members, service by service.
	Members []*Member

	clusterKey string
	platform   *Process
}

// Member is one upstream with its node.
type Member struct {
	Name    string
	Service string
	Zone    string
	// Listen and Operators are the addresses of the node for calls and for operators.
	Listen    string
	Operators string
	// Upstream and Control are the addresses of the upstream for calls and for its control endpoint.
	Upstream string
	Control  string
	// UpstreamAddress is the address at which the node reaches the upstream if that is not Upstream; empty otherwise.
	UpstreamAddress string

	// NodeProcess and UpstreamProcess are the processes of the node and of the upstream; nil before their first start.
	NodeProcess     *Process
	UpstreamProcess *Process

	recordFile, nodeFile, upstreamFile string
}

// effectiveUpstreamAddress returns the address at which the node reaches its upstream.
func (m *Member) effectiveUpstreamAddress() string {
	if m.UpstreamAddress != "" {
		return m.UpstreamAddress
	}
	return m.Upstream
}

// Keys of the nodes. They protect nothing, but nodes reject shorter keys than their minimum length.
const (
	clusterKey   = "stand-in-cluster-key"
	operatorsKey = "stand-in-operators-key"
)

// Prepare allocates ports and writes the document and the settings files. Start calls it unless it was called before.
func (f *Fleet) Prepare() error {
	if f.LogLevel == "" {
		f.LogLevel = "warn"
	}
	f.clusterKey, f.OperatorsKey = clusterKey, operatorsKey
	count := 0
	for _, s := range f.Deployment.Services {
		count += s.Count
	}
	addresses, err := freeAddresses(1 + count*addressesPerMember)
	if err != nil {
		return err
	}
	f.Store = addresses[0]
	f.addMembers(addresses[1:])
	return f.writeSettings()
}

// addressesPerMember counts the addresses of a Member: Listen, Operators, Upstream and Control.
const addressesPerMember = 4

// addMembers adds the members of all services and gives each its share of the addresses.
func (f *Fleet) addMembers(addresses []string) {
	for _, s := range f.Deployment.Services {
		for i := range s.Count {
			m := &Member{
				Name: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s.Name, Zone: f.Deployment.Zones[i%len(f.Deployment.Zones)],
				Listen: addresses[0], Operators: addresses[1], Upstream: addresses[2], Control: addresses[3],
			}
			addresses = addresses[addressesPerMember:]
			m.recordFile = filepath.Join(f.Dir, m.Name+".jsonl")
			m.nodeFile = filepath.Join(f.Dir, m.Name+".node.ini")
			m.upstreamFile = filepath.Join(f.Dir, m.Name+".upstream.ini")
			if f.UpstreamAddress != nil {
				m.UpstreamAddress = f.UpstreamAddress(m.Name, m.Upstream)
			}
			f.Members = append(f.Members, m)
		}
	}
}

// writeSettings writes the document and the settings files of all upstreams and nodes.
func (f *Fleet) writeSettings() error {
	files := map[string]string{f.documentFile(): f.Deployment.Document()}
	for n, m := range f.Members {
		for _, s := range f.Deployment.Services {
			if s.Name == m.Service {
				files[m.upstreamFile] = f.Deployment.upstreamSettings(s, m, n)
			}
		}
		files[m.nodeFile] = f.nodeSettings(m)
	}
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "write settings file")
		}
	}
	return nil
}

func (f *Fleet) documentFile() string { return filepath.Join(f.Dir, "document.ini") }

// Start starts all processes and waits until every node reaches every service. If it returns an error, some processes may run;
// the caller has to call Stop in any case.
func (f *Fleet) Start(ctx context.Context) error {
	if len(f.Members) == 0 {
		if err := f.Prepare(); err != nil {
			return err
		}
	}
	if err := f.StartPlatform(ctx); err != nil {
		return err
	}
	for _, m := range f.Members {
		if err := f.StartUpstream(m); err != nil {
			return err
		}
		if err := f.StartNode(m); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx, f.Members)
}

// StartPlatform starts the stand-in of the platform, loads the document into it and waits until it accepts connections.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	var err error
	f.platform, err = startProcess("platform", filepath.Join(f.Dir, "platform.log"), f.standinBinary(),
		"platform", "--listen", f.Store, "--load", f.documentFile(), "--operators-key", f.OperatorsKey)
	if err != nil {
		return err
	}
	return WaitFor(ctx, "platform accepts connections", func() error {
		c, err := net.Dial("tcp", f.Store)
		if err == nil {
			_ = c.Close()
		}
		return err
	})
}

// Platform returns the process of the platform.
func (f *Fleet) Platform() *Process { return f.platform }

// StartUpstream starts the process of the upstream of m. It does not wait until the upstream listens.
func (f *Fleet) StartUpstream(m *Member) error {
	var err error
	m.UpstreamProcess, err = startProcess(m.Name+" upstream", filepath.Join(f.Dir, m.Name+".upstream.log"), f.standinBinary(),
		"upstream", "--settings", m.upstreamFile)
	return err
}

// StartNode starts the process of the node of m. It does not wait until the node serves.
func (f *Fleet) StartNode(m *Member) error {
	var err error
	m.NodeProcess, err = startProcess(m.Name+" node", filepath.Join(f.Dir, m.Name+".node.log"), filepath.Join(f.Binaries, "hornbeam-node"),
		"--settings", m.nodeFile)
	return err
}

func (f *Fleet) standinBinary() string { return filepath.Join(f.Binaries, "hornbeam-standin") }

// stopTimeout is the time after which Stop kills a process that has not stopped.
const stopTimeout = 10 * time.Second

// Stop stops first the nodes, then the upstreams and the platform. It returns the names of the processes that did not stop within
// stopTimeout and were killed.
func (f *Fleet) Stop() []string {
	var killed []string
	stopAll := func(processes []*Process) {
		var g errgroup.Group
		stopped := make([]bool, len(processes))
		for i, p := range processes {
			g.Go(func() error {
				stopped[i] = p == nil || p.Stop(stopTimeout)
				return nil
			})
		}
		_ = g.Wait()
		for i, ok := range stopped {
			if !ok {
				killed = append(killed, processes[i].Name)
			}
		}
	}
	var nodes, upstreams []*Process
	for _, m := range f.Members {
		nodes = append(nodes, m.NodeProcess)
		upstreams = append(upstreams, m.UpstreamProcess)
	}
	stopAll(nodes)
	stopAll(append(upstreams, f.platform))
	return killed
}

// ports allocates ports below the range that Linux uses for outgoing connections, so that no connection takes a port between its
// allocation and the start of the process that listens on it. All fleets of this process share ports, so that no fleet gets a
// port of another one that has not started yet.
var ports = portallocator.PortAllocator{First: 10_000, Last: 29_999}

// freeAddresses allocates n addresses on loopback.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		if addresses[i], err = ports.Address(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}
