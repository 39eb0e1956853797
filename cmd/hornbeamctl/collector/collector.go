// Package collector sends HTTP requests to the operators' endpoints of nodes and collects the answers.
package collector

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamcroft/resetkeeper"
)

const (
	// maxParallel bounds the number of requests that run at once.
	maxParallel = 128
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 4 << 20
	// DefaultTimeout bounds the request to one node.
	DefaultTimeout = 2 * time.Second
)

// breakerName names the circuit breaker of package httpc, which all nodes would share. It is disabled: a command sends
// one request to each node, and a node that does not answer must not stop the requests to the others.
const breakerName = "hornbeamctl nodes"

// Collector requests state from nodes. Exported fields must be set before the first call.
type Collector struct {
	// Addresses are the host:port addresses of the nodes' operators' endpoints.
	Addresses []string
	// Key is the operators' key. It is sent as a bearer token if it is not empty, and it is never logged.
	Key string
	// Timeout bounds the request to one node. Zero means DefaultTimeout.
	Timeout time.Duration
}

// Answer is the answer of one node, or the reason why there is none.
type Answer struct {
	Address string
	// Body is the body of the answer, which is not checked to be valid JSON. It is nil if Err is set.
	Body json.RawMessage
	// Err is set if the request failed, the status is not 2xx, or the body exceeds 4 MiB.
	Err error
}

// RequestAll sends the same request to all nodes, at most 128 at once, and returns the answers in the order of Addresses.
// Redirects are not followed.
func (c *Collector) RequestAll(ctx context.Context, method, path string) []Answer {
	breaker.NoBreakerFor(breakerName)
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = resetkeeper.DialContext(&net.Dialer{})
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	service := httpc.NewServiceWithClient(breakerName, client)
	defer client.CloseIdleConnections()
	answers := make([]Answer, len(c.Addresses))
	semaphore := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			body, err := c.request(ctx, service, method, "http://"+address+path)
			answers[i] = Answer{address, body, err}
		})
	}
	wg.Wait()
	return answers
}

// request sends one request and returns the body of the answer.
func (c *Collector) request(ctx context.Context, service httpc.Service, method, url string) (json.RawMessage, error) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxAnswerBytes:
		return nil, errors.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	case resp.StatusCode/100 != 2:
		return nil, errors.Errorf("answered with status %s", resp.Status)
	}
	return body, nil
}
