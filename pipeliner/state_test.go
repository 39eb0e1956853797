package pipeliner

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestArrivedRequest guards against a connection that looks idle, so that a planned stop closes it, while a request that has arrived is
// about to be passed on: here the request before it ends in between.
func TestArrivedRequest(t *testing.T) {
	is := is.New(t)
	answer, ended, found := make(chan bool), make(chan bool), make(chan State, 1)
	var p *Pipeliner
	w := open(t, Rules{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "a") {
				<-answer
			}
		}),
		RunsAhead: func(r *http.Request) bool {
			if strings.HasSuffix(r.URL.Path, "b") {
				<-ended
				found <- p.State()
			}
			return false
		},
	})
	p = w.conn
	is.Equal(w.do("get", []string{"a"}), "")
	is.True(w.until(func() bool { return p.State().Phase == Serving }))
	is.Equal(w.do("get", []string{"b"}), "")
	answer <- true
	is.Equal(w.do("read", []string{"200"}), "")
	is.True(w.until(func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.count == 0
	}))
	ended <- true
	is.Equal((<-found).Phase, Serving)
	is.Equal(w.do("read", []string{"200"}), "")
}
