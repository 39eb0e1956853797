package exchange

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// nonRewindableBody is a request body that the HTTP client cannot rewind. The client resends a request that has an
// Idempotency-Key without telling its caller when a reused connection breaks, unless it cannot rewind the body. Such a resend
// would not be counted and would repeat the number in Hornbeam-Attempt.
type nonRewindableBody struct{ r *bytes.Reader }

func (b nonRewindableBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Wrap(err, "read request body")
	}
	return n, nil
}

func (b nonRewindableBody) Close() error { return nil }

// SetBody sets a JSON body on r that the HTTP client sends at most once.
func SetBody(r *http.Request, data []byte) {
	r.Body = nonRewindableBody{bytes.NewReader(data)}
	r.ContentLength = int64(len(data))
	r.Header.Set("Content-Type", "application/json")
}
