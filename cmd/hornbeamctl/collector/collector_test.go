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

func node(answer string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
}

// TestMalformedStatus guards against a node that is taken for heard although its answer tells nothing.
func TestMalformedStatus(t *testing.T) {
	logx.Disable()
	for _, answer := range []string{``, `[]`, `{}`, `{"name":"a"}`, `{"name":"a","document-revision":-1}`} {
		is := is.New(t)
		web := node(answer)
		defer web.Close()
		c := collector.Collector{Addresses: []string{strings.TrimPrefix(web.URL, "http://")}}
		s := c.Statuses(t.Context())[0]
		is.True(!s.Heard && s.Error != "")
	}
}

func ExampleCollector() {
	logx.Disable()
	web := node(`{"name":"cash-1","service":"cash-office","zone":"brest","state":"serving","document-revision":7,"members":4}`)
	defer web.Close()
	c := collector.Collector{Addresses: []string{strings.TrimPrefix(web.URL, "http://"), "127.0.0.1:1"}}
	fmt.Println(collector.Highest(c.Statuses(context.Background())))
	// Output: 7 1
}
