// Package listener serves HTTP on one address with go-zero's rest server.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"hornbeamcroft/evictor"
	"hornbeamcroft/finisher"
)

const (
	// readHeaderTimeout is the maximum time in which a connection must send the header of a request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 16 << 10
	// boundedReadTimeout and boundedIdleTimeout apply where the number of connections is bounded: the maximum time in which a
	// whole request must arrive, and the maximum time without one. Upstreams and probes send one each second or two.
	boundedReadTimeout = 5 * time.Second
	boundedIdleTimeout = 60 * time.Second
	// maxBoundedBody is the maximum size of the body of a request where the number of connections is bounded.
	maxBoundedBody = 64 << 10
)

// StopFunc shuts a listener down and waits for requests in flight until ctx ends.
type StopFunc func(ctx context.Context)

// Listener serves HTTP or HTTPS on one address. Set the exported fields before Open.
type Listener struct {
	// Name is the server's name in go-zero's log.
	Name    string
	Address string
	// CertFile and KeyFile are the paths of PEM files, and TLS holds further settings. They are empty and nil for a listener
	// without TLS.
	CertFile string
	KeyFile  string
	TLS      *tls.Config
	Routes   []rest.Route
	// MaxConns bounds the number of connections, without those that a handler has taken over. Zero means no limit.
	MaxConns int
	// OnEvict is called when a connection is closed because there are too many; it may be nil.
	OnEvict func()
}

// Open serves in the background until the returned function is called. If the server fails to listen after Open's own check
// has succeeded, the error is sent to serverErrs.
func (l Listener) Open(serverErrs chan<- error) (StopFunc, error) {
	bound := &evictor.Evictor{MaxConns: l.MaxConns, MaxBody: maxBoundedBody, OnEvict: l.OnEvict}
	if l.MaxConns > 0 {
		l.Routes = slices.Clone(l.Routes)
		for i := range l.Routes {
			l.Routes[i].Handler = bound.Wrap(l.Routes[i].Handler)
		}
	}
	server, err := l.build()
	if err != nil {
		return nil, err
	}
	// The rest server panics if it cannot listen. Listening once before it starts gives a readable error instead.
	probe, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	_ = probe.Close()
	f := &finisher.Finisher{}
	ready := make(chan struct{})
	go f.Run(func() {
		defer func() {
			if p := recover(); p != nil && !f.Finished() {
				serverErrs <- errors.Errorf("listen on %s: %v", l.Address, p)
			}
		}()
		server.StartWithOpts(func(httpServer *http.Server) {
			httpServer.ReadHeaderTimeout = readHeaderTimeout
			httpServer.MaxHeaderBytes = maxHeaderBytes
			if l.MaxConns > 0 {
				httpServer.ReadTimeout, httpServer.IdleTimeout = boundedReadTimeout, boundedIdleTimeout
				bound.Attach(httpServer)
			}
			f.Server = httpServer
			f.Attach()
			close(ready)
		})
	})
	<-ready
	return func(ctx context.Context) { _ = f.Finish(ctx) }, nil
}

// build returns the rest server with all of go-zero's middlewares off: its load shedder, circuit breaker and timeout would
// repeat admission decisions that the node makes itself, and its log middleware writes a line for each request.
func (l Listener) build() (*rest.Server, error) {
	host, portText, err := net.SplitHostPort(l.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	var opts []rest.RunOption
	if l.TLS != nil {
		opts = append(opts, rest.WithTLSConfig(l.TLS))
	}
	server, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: l.Name, Mode: service.ProMode,
			// go-zero exits the process a fixed time after a signal. The times are long enough that a planned stop ends
			// first.
			Shutdown: proc.ShutdownConf{WrapUpTime: time.Hour, WaitTime: 2 * time.Hour},
		},
		Host: host, Port: port, CertFile: l.CertFile, KeyFile: l.KeyFile, Middlewares: rest.MiddlewaresConf{},
	}, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server.AddRoutes(l.Routes)
	return server, nil
}
