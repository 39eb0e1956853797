package exchanger

import (
	"net/http"
	"strconv"

	"hornbeamcroft"
)

// statement returns what the fields of an answer state about the upstream, or nil if its rate limit cannot be read: a limit
// stated before then stays in force. An upstream that leaves takes no calls, whatever its limit.
func statement(h http.Header, names HeaderNames) *hornbeamcroft.Statement {
	if names.Leaving != "" && h.Get(names.Leaving) == "1" {
		return &hornbeamcroft.Statement{Leaving: true}
	}
	text := h.Get(names.RateLimit)
	if text == "" {
		return &hornbeamcroft.Statement{}
	}
	limit, err := strconv.ParseFloat(text, 64)
	s := hornbeamcroft.Statement{Limited: true, RateLimit: limit}
	if err != nil || s.Check() != nil {
		return nil
	}
	return &s
}
