package exchanger

import (
	"context"
	"net/http"

	"hornbeamcroft"
)

// Probe sends a GET request for the target on a connection of its own, and returns the head of the answer, which is bounded and checked as
// those of other answers are. The body is not read. The connection does not count as an open one.
func (e *Exchanger) Probe(ctx context.Context, target string) (*http.Response, error) {
	c, err := dial(ctx, e.Address)
	if err != nil {
		return nil, err
	}
	defer c.abort()
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	m := hornbeamcroft.Message{
		Method: http.MethodGet, Host: e.Address, Target: target,
		Header: []hornbeamcroft.Field{{Name: "Connection", Value: "close"}},
	}
	if _, err := c.write(Request{Message: m}); err != nil {
		return nil, err
	}
	c.source.startAnswer(nil)
	return c.readResponse(m.Method)
}
