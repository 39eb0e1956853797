package exchange

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// onceBody cannot be rewound. The HTTP client resends a request that carries an Idempotency-Key on its own when a kept
// connection breaks, unless it cannot rewind the body; such a resend would not be counted and would repeat the number
// in Hornbeam-Attempt.
type onceBody struct{ r *bytes.Reader }

func (b onceBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Wrap(err, "request body")
	}
	return n, nil
}

func (b onceBody) Close() error { return nil }

// SetBody gives r a JSON body that is sent at most once.
func SetBody(r *http.Request, data []byte) {
	r.Body = onceBody{bytes.NewReader(data)}
	r.ContentLength = int64(len(data))
	r.Header.Set("Content-Type", "application/json")
}
