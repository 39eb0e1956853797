// Package collector asks nodes for their state over their operators' endpoints.
package collector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	// parallel is the number of nodes that are asked at once.
	parallel = 128
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 4 << 20
	// DefaultTimeout bounds the question to one node.
	DefaultTimeout = 2 * time.Second
)

// breakerName names the circuit breaker of httpc. It is switched off: a command asks each node once, and one dead node
// must not hide the others.
const breakerName = "hornbeamctl nodes"

// Collector asks nodes. Exported fields are set before the first call.
type Collector struct {
	// Addresses are those of the nodes' operators' endpoints, as host:port.
	Addresses []string
	// Key is the operators' key; it is never logged.
	Key string
	// Timeout is DefaultTimeout if zero.
	Timeout time.Duration
}

// Answer is the answer of one node.
type Answer struct {
	Address string
	// Body is the JSON of the answer; nil if Err is set.
	Body json.RawMessage
	Err  error
}

// Ask sends a request to all nodes at once and returns the answers in the order of Addresses.
func (c *Collector) Ask(ctx context.Context, method, path string) []Answer {
	breaker.NoBreakerFor(breakerName)
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	service := httpc.NewServiceWithClient(breakerName, client)
	defer client.CloseIdleConnections()
	answers := make([]Answer, len(c.Addresses))
	tokens := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		tokens <- struct{}{}
		wg.Go(func() {
			defer func() { <-tokens }()
			body, err := c.ask(ctx, service, method, "http://"+address+path)
			answers[i] = Answer{address, body, err}
		})
	}
	wg.Wait()
	return answers
}

func (c *Collector) ask(ctx context.Context, service httpc.Service, method, url string) (json.RawMessage, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := service.DoRequest(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxAnswer:
		return nil, errors.Errorf("answer of more than %d bytes", maxAnswer)
	case resp.StatusCode/100 != 2:
		return nil, errors.Errorf("answered %s", resp.Status)
	}
	return body, nil
}
