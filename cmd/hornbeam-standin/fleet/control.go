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

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// WaitFor calls check until it returns nil or ctx ends; then it returns the last error.
func WaitFor(ctx context.Context, what string, check func() error) error {
	var last error
	for {
		err := check()
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			// The end of ctx hides what was wrong before.
			last = err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(last, "wait until %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// request sends one request to a control or operators' endpoint and decodes the answer into out, if that is not nil.
func (f *Fleet) request(method, url string, in, out any) error {
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

// requestTimeout bounds control requests.
const requestTimeout = 5 * time.Second

// SetControl changes the behaviour of the upstream of m.
func (f *Fleet) SetControl(m *Member, c upstream.Control) error {
	return f.request(http.MethodPost, m.Control+"/control", c, nil)
}

// SetService changes the behaviour of all upstreams of the service.
func (f *Fleet) SetService(service string, c upstream.Control) error {
	for _, m := range f.Of(service) {
		if err := f.SetControl(m, c); err != nil {
			return err
		}
	}
	return nil
}

// SilenceOpen silences the open connections of the upstream of m.
func (f *Fleet) SilenceOpen(m *Member) error {
	return f.request(http.MethodPost, m.Control+"/silence-open", nil, nil)
}

// SetFaults sets the fault switches of the platform.
func (f *Fleet) SetFaults(faults platform.Faults) error {
	return f.request(http.MethodPut, f.Store+"/control/faults", faults, nil)
}

// Operators sends a request to an operators' endpoint of the node of m.
func (f *Fleet) Operators(m *Member, method, path string, out any) error {
	return f.request(method, m.Operators+path, nil, out)
}

// Of returns the members of a service.
func (f *Fleet) Of(service string) []*Member {
	var members []*Member
	for _, m := range f.Members {
		if m.Service == service {
			members = append(members, m)
		}
	}
	return members
}

// Ingress returns the addresses of the nodes.
func (f *Fleet) Ingress() []string {
	var addresses []string
	for _, m := range f.Members {
		addresses = append(addresses, m.Listen)
	}
	return addresses
}

// Executions reads the records of all upstreams, those of killed processes included. Runs of probes are left out.
func (f *Fleet) Executions() ([]upstream.Execution, error) {
	var all []upstream.Execution
	for _, m := range f.Members {
		data, err := os.ReadFile(m.record)
		if err != nil {
			return nil, errors.Wrap(err, "record")
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

// probesPerService is the number of non-idempotent probes that must succeed through each node. Their keys have
// different homes; over all nodes, every home is asked.
const probesPerService = 4

// WaitReady waits until the given nodes reach every service, with idempotent and with non-idempotent requests.
func (f *Fleet) WaitReady(ctx context.Context, members []*Member) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, m := range members {
		for _, s := range f.Deployment.Services {
			g.Go(func() error { return f.waitService(ctx, m, s.Name) })
		}
	}
	return g.Wait()
}

func (f *Fleet) waitService(ctx context.Context, m *Member, service string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := func(target string) error {
		return WaitFor(ctx, m.Name+" reaches "+service, func() error {
			for _, p := range []*Process{m.Node, m.UpstreamRun} {
				if !p.Running() {
					cancel()
					return errors.Errorf("%s ended", p.Name)
				}
			}
			return probe(ctx, m.Listen, target)
		})
	}
	if err := wait(service + "/" + probeType); err != nil {
		return err
	}
	for range probesPerService {
		if err := wait(service + "/" + probeOnceType); err != nil {
			return err
		}
	}
	return nil
}

// probe makes one call with a new key.
func probe(ctx context.Context, node, target string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	key := uuid.Must(uuid.NewV7()).String()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/call/"+target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	exchange.SetBody(r, []byte(`{"marker":"`+probePrefix+key+`"}`))
	r.Header.Set(exchange.HeaderKey, key)
	r.Header.Set(exchange.HeaderAttempt, "1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("probe %s: status %d code %s", target, resp.StatusCode, resp.Header.Get(exchange.HeaderCode))
	}
	return nil
}

// Status is the part of GET /status of a node that the stand-ins use.
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
	err := f.Operators(m, http.MethodGet, "/status", &s)
	return s, err
}

// WaitServing waits until the node of m serves and its own upstream is reached through it.
func (f *Fleet) WaitServing(ctx context.Context, m *Member) error {
	err := WaitFor(ctx, m.Name+" serves", func() error {
		s, err := f.StatusOf(m)
		if err == nil && s.State != "serving" {
			err = errors.Errorf("state %s", s.State)
		}
		return err
	})
	if err != nil {
		return err
	}
	return WaitFor(ctx, m.Name+" reaches its service", func() error { return probe(ctx, m.Listen, m.Service+"/"+probeType) })
}
