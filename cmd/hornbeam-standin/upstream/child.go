package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"hornbeamcroft/cmd/hornbeam-standin/exchange"
)

// idleConnections is the number of kept connections to the own node; a smaller pool reopens connections under load.
const idleConnections = 512

// children sends child calls through the upstream's own node. It uses net/http directly: the circuit breaker of httpc
// would drop calls that the measurements must count.
type children struct {
	node   string
	tries  int
	client *http.Client
}

func newChildren(cfg Settings) *children {
	return &children{node: cfg.Node, tries: cfg.Tries, client: &http.Client{Transport: &http.Transport{
		MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
	}}}
}

// call makes one child call with the own-code retries.
func (c *children) call(ctx context.Context, parent http.Header, target, key string, r exchange.Request) error {
	var err error
	for range c.tries {
		if err = c.try(ctx, parent, target, key, r); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *children) try(ctx context.Context, parent http.Header, target, key string, r exchange.Request) error {
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode child call")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node+"/call/"+target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "child call")
	}
	exchange.SetBody(req, body)
	for _, name := range []string{exchange.HeaderCall, exchange.HeaderTrace} {
		if v := parent.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if key != "" {
		req.Header.Set(exchange.HeaderKey, key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(exchange.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call %s", target)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(err, "call %s", target)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("call %s: status %d code %s", target, resp.StatusCode, resp.Header.Get(exchange.HeaderCode))
	}
	if err := exchange.Verify(r, answer); err != nil {
		return errors.Wrapf(err, "call %s", target)
	}
	return nil
}

// childKey derives the key of a child call, so that every run of the parent sends the same one. It keeps the issue
// time of the parent's UUIDv7 key.
func childKey(parent, target string) string {
	p, err := uuid.Parse(parent)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256([]byte(parent + "\x00" + target))
	k := uuid.UUID(sum[:16])
	copy(k[:6], p[:6])
	k[6] = k[6]&0x0f | 0x70
	k[8] = k[8]&0x3f | 0x80
	return k.String()
}
