// Package fleet runs a deployment as separate processes on loopback: the platform, upstreams and their nodes.
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

// Fleet is a running deployment. Exported fields of the first group are set before Start and not changed later.
type Fleet struct {
	Deployment Deployment
	// Binaries is the folder of hornbeam-node and hornbeam-standin.
	Binaries string
	// Dir holds settings, logs and records; it must exist.
	Dir string
	// LogLevel is the nodes' log level; warn if empty.
	LogLevel string
	// Link returns the address under which the node of a member reaches its upstream, for proxies of tests; nil for none.
	Link func(member, upstream string) string

	// Store is the address of the platform.
	Store string
	// OperatorsKey is the nodes' key for operators.
	OperatorsKey string
	Members      []*Member

	clusterKey string
	platform   *Process
}

// Member is one upstream with its node.
type Member struct {
	Name    string
	Service string
	Zone    string
	// Listen and Operators are the addresses of the node.
	Listen    string
	Operators string
	// Upstream and Control are the addresses of the upstream.
	Upstream string
	Control  string
	// Link is the address under which the node reaches the upstream, if it is another.
	Link string

	Node        *Process
	UpstreamRun *Process

	record, nodeFile, upstreamFile string
}

func (m *Member) nodeUpstream() string {
	if m.Link != "" {
		return m.Link
	}
	return m.Upstream
}

// Keys of the fleet; they protect nothing and only have to be long enough.
const (
	clusterKey   = "stand-in-cluster-key"
	operatorsKey = "stand-in-operators-key"
)

// Plan picks ports and writes the settings files. Start calls it unless it was called before.
func (f *Fleet) Plan() error {
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
	return f.write()
}

const addressesPerMember = 4

func (f *Fleet) addMembers(ports []string) {
	for _, s := range f.Deployment.Services {
		for i := range s.Count {
			m := &Member{
				Name: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s.Name, Zone: f.Deployment.Zones[i%len(f.Deployment.Zones)],
				Listen: ports[0], Operators: ports[1], Upstream: ports[2], Control: ports[3],
			}
			ports = ports[addressesPerMember:]
			m.record = filepath.Join(f.Dir, m.Name+".jsonl")
			m.nodeFile = filepath.Join(f.Dir, m.Name+".node.ini")
			m.upstreamFile = filepath.Join(f.Dir, m.Name+".upstream.ini")
			if f.Link != nil {
				m.Link = f.Link(m.Name, m.Upstream)
			}
			f.Members = append(f.Members, m)
		}
	}
}

func (f *Fleet) write() error {
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
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}

func (f *Fleet) documentFile() string { return filepath.Join(f.Dir, "document.ini") }

// Start starts all processes and waits until every node can reach every service. On an error, the caller still calls
// Stop.
func (f *Fleet) Start(ctx context.Context) error {
	if len(f.Members) == 0 {
		if err := f.Plan(); err != nil {
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

// StartPlatform starts the platform with the document and waits until it listens.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	var err error
	f.platform, err = start("platform", filepath.Join(f.Dir, "platform.log"), f.standin(),
		"platform", "--listen", f.Store, "--load", f.documentFile(), "--operators-key", f.OperatorsKey)
	if err != nil {
		return err
	}
	return WaitFor(ctx, "platform listens", func() error {
		c, err := net.Dial("tcp", f.Store)
		if err == nil {
			_ = c.Close()
		}
		return err
	})
}

// Platform returns the process of the platform.
func (f *Fleet) Platform() *Process { return f.platform }

// StartUpstream starts the upstream of m.
func (f *Fleet) StartUpstream(m *Member) error {
	var err error
	m.UpstreamRun, err = start(m.Name+" upstream", filepath.Join(f.Dir, m.Name+".upstream.log"), f.standin(),
		"upstream", "--settings", m.upstreamFile)
	return err
}

// StartNode starts the node of m.
func (f *Fleet) StartNode(m *Member) error {
	var err error
	m.Node, err = start(m.Name+" node", filepath.Join(f.Dir, m.Name+".node.log"), filepath.Join(f.Binaries, "hornbeam-node"),
		"--settings", m.nodeFile)
	return err
}

func (f *Fleet) standin() string { return filepath.Join(f.Binaries, "hornbeam-standin") }

// stopTime bounds the graceful stop of a process.
const stopTime = 10 * time.Second

// Stop ends all processes and returns the names of those that did not end by themselves.
func (f *Fleet) Stop() []string {
	var late []string
	stopAll := func(processes []*Process) {
		var g errgroup.Group
		results := make([]bool, len(processes))
		for i, p := range processes {
			g.Go(func() error {
				results[i] = p == nil || p.Stop(stopTime)
				return nil
			})
		}
		_ = g.Wait()
		for i, ok := range results {
			if !ok {
				late = append(late, processes[i].Name)
			}
		}
	}
	var nodes, upstreams []*Process
	for _, m := range f.Members {
		nodes = append(nodes, m.Node)
		upstreams = append(upstreams, m.UpstreamRun)
	}
	stopAll(nodes)
	stopAll(append(upstreams, f.platform))
	return late
}

// ports are below those of outgoing connections, so that no connection takes one between the check and the start. They are
// shared by all fleets of the process: one that is not started yet must not lose a port to another.
var ports = portallocator.PortAllocator{First: 10_000, Last: 29_999}

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
