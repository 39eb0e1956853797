package collector_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamcroft/cmd/hornbeamctl/collector"
)

// startNode returns a server that sends the same answer to each request.
func startNode(answer string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
}

// TestMalformedStatus guards against malformed statuses that count as answers.
func TestMalformedStatus(t *testing.T) {
	logx.Disable()
	for _, answer := range []string{``, `[]`, `{}`, `{"name":"a"}`, `{"name":"a","document-revision":-1}`} {
		is := is.New(t)
		server := startNode(answer)
		defer server.Close()
		c := collector.Collector{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
		s := c.Statuses(t.Context())[0]
		is.True(!s.Heard && s.Error != "")
	}
}

func ExampleCollector() {
	logx.Disable()
	server := startNode(`{"name":"cash-1","service":"cash-office","zone":"brest","state":"serving","document-revision":7,"members":4}`)
	defer server.Close()
	c := collector.Collector{Addresses: []string{strings.TrimPrefix(server.URL, "http://"), "127.0.0.1:1"}}
	fmt.Println(collector.Highest(c.Statuses(context.Background())))
	// Output: 7 1
}
