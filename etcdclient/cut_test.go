package etcdclient

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/platform/standin/answerer"
)

const (
	// cutValueBytes is the size of a value that does not fit into the buffers of a connection.
	cutValueBytes = 4 << 20
	// cutRuns is how often each case is played: which call learns of a reset is a race.
	cutRuns = 5
)

// TestCutTransaction guards against an answer that broke off while the transaction was still written and that counts as a whole one: as
// that of a transaction that took effect, or as the store's own rejection.
func TestCutTransaction(t *testing.T) {
	for _, status := range []int{200, 400, 404, 503} {
		for _, part := range []string{"", `{"header":{"revision":"3"},"succ`, `{"code":5,"message":"x"}`} {
			t.Run(fmt.Sprint(status, part), func(t *testing.T) {
				is := is.New(t)
				var reached atomic.Int64
				a := &answerer.Answerer{Answer: func(w io.Writer, _ *http.Request) bool {
					reached.Add(1)
					return answerer.Cut(w, fmt.Sprintf("HTTP/1.1 %d X\r\n\r\n%s", status, part))
				}}
				address, err := a.Listen()
				is.NoErr(err)
				defer a.Close()
				c := &Client{Endpoints: []string{address}, NoBreaker: true}
				c.Init()
				for range cutRuns {
					reached.Store(0)
					_, err := c.Txn(t.Context(), nil, []hornbeamcroft.Put{{Key: "k", Value: make([]byte, cutValueBytes)}})
					is.True(err != nil)
					// The error means that the call was not carried out, for certain.
					is.True(reached.Load() == 0 || !errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
					is.True(!errors.Is(err, hornbeamcroft.ErrLeaseNotFound))
					is.True(!isRejection(err))
				}
			})
		}
	}
}
