package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"hornbeamcroft/cmd/hornbeam-standin/exchange"
	"hornbeamcroft/cmd/hornbeam-standin/platform"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// pollInterval is the pause between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// WaitFor calls check, with pauses of pollInterval, until it returns nil. If ctx ends first, WaitFor returns the last error that
// check returned before that. what describes the condition in the error message.
func WaitFor(ctx context.Context, what string, check func() error) error {
	var last error
	for {
		err := check()
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			// Once ctx has ended, check may fail for that reason alone; its last error from before says more.
			last = err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(last, "wait until %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// sendControl sends one request with the operators' key to a control endpoint of a stand-in or an operators' endpoint of a node.
// It sends in as JSON and decodes the answer into out; each is left out if nil.
func (f *Fleet) sendControl(method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, url)
		}
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+url, body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	r.Header.Set("Authorization", "Bearer "+f.OperatorsKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusMultipleChoices {
		err = errors.Errorf("status %d: %s", resp.StatusCode, data)
	}
	if err == nil && out != nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return errors.Wrap(err, url)
	}
	return nil
}

// requestTimeout bounds each control request.
const requestTimeout = 5 * time.Second

// SetControl replaces the service time factor, the error share and the silence of the upstream of m.
func (f *Fleet) SetControl(m *Member, c upstream.Control) error {
	return f.sendControl(http.MethodPost, m.Control+"/control", c, nil)
}

// SetServiceControl calls SetControl for all upstreams of the service.
func (f *Fleet) SetServiceControl(service string, c upstream.Control) error {
	for _, m := range f.MembersOf(service) {
		if err := f.SetControl(m, c); err != nil {
			return err
		}
	}
	return nil
}

// SilenceOpen makes the upstream of m leave requests on its currently open connections unanswered. New connections are served.
func (f *Fleet) SilenceOpen(m *Member) error {
	return f.sendControl(http.MethodPost, m.Control+"/silence-open", nil, nil)
}

// SetFaults replaces all faults of the platform.
func (f *Fleet) SetFaults(faults platform.Faults) error {
	return f.sendControl(http.MethodPut, f.Store+"/control/faults", faults, nil)
}

// RequestOperators sends a request to an operators' endpoint of the node of m and decodes the answer into out, unless out is nil.
func (f *Fleet) RequestOperators(m *Member, method, path string, out any) error {
	return f.sendControl(method, m.Operators+path, nil, out)
}

// MembersOf returns the members of a service in the order of their numbers.
func (f *Fleet) MembersOf(service string) []*Member {
	var members []*Member
	for _, m := range f.Members {
		if m.Service == service {
			members = append(members, m)
		}
	}
	return members
}

// NodeAddresses returns the addresses at which the nodes accept calls.
func (f *Fleet) NodeAddresses() []string {
	var addresses []string
	for _, m := range f.Members {
		addresses = append(addresses, m.Listen)
	}
	return addresses
}

// Executions reads the execution records of all upstreams, including those of killed processes. Executions of probes
// are left out.
func (f *Fleet) Executions() ([]upstream.Execution, error) {
	var all []upstream.Execution
	for _, m := range f.Members {
		data, err := os.ReadFile(m.recordFile)
		if err != nil {
			return nil, errors.Wrap(err, "read execution record")
		}
		runs, err := upstream.ReadRecord(data)
		if err != nil {
			return nil, errors.Wrap(err, m.Name)
		}
		for _, e := range runs {
			if !strings.HasPrefix(e.Marker, probePrefix) {
				all = append(all, e)
			}
		}
	}
	return all, nil
}

// probesOncePerService is the number of non-idempotent probes that must succeed through each node for each service. Each probe
// has a new key, and the key determines its home, the node that records it. The probes through all nodes together are enough to
// reach every home.
const probesOncePerService = 4

// WaitReady waits until each of the given members reaches every service with idempotent and with non-idempotent requests. It
// fails at once if the node or the upstream of a member has exited.
func (f *Fleet) WaitReady(ctx context.Context, members []*Member) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, m := range members {
		for _, s := range f.Deployment.Services {
			g.Go(func() error { return f.waitReachable(ctx, m, s.Name) })
		}
	}
	return g.Wait()
}

// waitReachable waits until probes through the node of m succeed at the service.
func (f *Fleet) waitReachable(ctx context.Context, m *Member, service string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := func(target string) error {
		return WaitFor(ctx, m.Name+" reaches "+service, func() error {
			for _, p := range []*Process{m.NodeProcess, m.UpstreamProcess} {
				if !p.Running() {
					cancel()
					return errors.Errorf("process %s has exited", p.Name)
				}
			}
			return probe(ctx, m.Listen, target)
		})
	}
	if err := wait(service + "/" + probeType); err != nil {
		return err
	}
	for range probesOncePerService {
		if err := wait(service + "/" + probeOnceType); err != nil {
			return err
		}
	}
	return nil
}

// probe sends one call with a new key through a node. It returns an error unless the call succeeds within 2 s.
func probe(ctx context.Context, node, target string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	key := uuid.Must(uuid.NewV7()).String()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/call/"+target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create probe")
	}
	exchange.SetBody(r, []byte(`{"marker":"`+probePrefix+key+`"}`))
	r.Header.Set(exchange.HeaderKey, key)
	r.Header.Set(exchange.HeaderAttempt, "1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "send probe")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("probe %s: status %d code %s", target, resp.StatusCode, resp.Header.Get(exchange.HeaderCode))
	}
	return nil
}

// Status holds those fields of the answer of a node to GET /status that the tests and measurements use.
type Status struct {
	State            string `json:"state"`
	DocumentRevision uint64 `json:"document-revision"`
	Running          int    `json:"running"`
	Members          []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"members"`
}

// StatusOf returns the status of the node of m.
func (f *Fleet) StatusOf(m *Member) (Status, error) {
	var s Status
	err := f.RequestOperators(m, http.MethodGet, "/status", &s)
	return s, err
}

// WaitServing waits until the node of m is in the state "serving" and a probe through it reaches its own service.
func (f *Fleet) WaitServing(ctx context.Context, m *Member) error {
	err := WaitFor(ctx, m.Name+" is serving", func() error {
		s, err := f.StatusOf(m)
		if err == nil && s.State != "serving" {
			err = errors.Errorf("node is in state %s", s.State)
		}
		return err
	})
	if err != nil {
		return err
	}
	return WaitFor(ctx, m.Name+" reaches its service", func() error { return probe(ctx, m.Listen, m.Service+"/"+probeType) })
}
