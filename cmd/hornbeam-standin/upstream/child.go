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

// maxIdleConns bounds the idle connections that are kept open to the upstream's own node. With a smaller pool,
// connections are closed and reopened under load.
const maxIdleConns = 512

// childClient sends child calls through the upstream's own node. It uses net/http directly: the circuit breaker of
// go-zero's httpc would drop calls that benchmarks must count.
type childClient struct {
	node string
	// tries is the maximum number of sends of a child call.
	tries  int
	client *http.Client
}

func newChildClient(cfg Settings) *childClient {
	return &childClient{node: cfg.Node, tries: cfg.Tries, client: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}}
}

// call makes one child call. It retries as an application does on its own, in addition to the retries of the node.
func (c *childClient) call(ctx context.Context, parent http.Header, target, key string, r exchange.Request) error {
	var err error
	for range c.tries {
		if err = c.callOnce(ctx, parent, target, key, r); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// callOnce sends a child call once. It passes on the parent's call and trace headers and the time left until the
// deadline of ctx.
func (c *childClient) callOnce(ctx context.Context, parent http.Header, target, key string, r exchange.Request) error {
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode child call")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node+"/call/"+target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build child call")
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
		return errors.Wrapf(err, "child call %s", target)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(err, "child call %s: read answer", target)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("child call %s: status %d, code %s", target, resp.StatusCode, resp.Header.Get(exchange.HeaderCode))
	}
	if err := exchange.Verify(r, answer); err != nil {
		return errors.Wrapf(err, "child call %s", target)
	}
	return nil
}

// deriveChildKey derives the key of a child call from the parent's key and the target, so that every run of the parent
// sends the same key. The result is a UUIDv7 with the timestamp of the parent's key; it is empty if the parent's key is
// not a UUID.
func deriveChildKey(parent, target string) string {
	parentID, err := uuid.Parse(parent)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256([]byte(parent + "\x00" + target))
	k := uuid.UUID(sum[:16])
	copy(k[:6], parentID[:6])
	k[6] = k[6]&0x0f | 0x70
	k[8] = k[8]&0x3f | 0x80
	return k.String()
}
