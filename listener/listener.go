// Package listener serves HTTP on one address with go-zero's rest server.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// readHeaderTimeout bounds the time in which a connection must send the header of a request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
)

// StopFunc stops a listener, waiting for requests in flight until ctx ends.
type StopFunc func(ctx context.Context)

// Listener serves one address. Set the exported fields before Open.
type Listener struct {
	// Name is the server's name in go-zero's log.
	Name    string
	Address string
	// CertFile and KeyFile name PEM files, and TLS holds further settings; empty and nil for a listener without TLS.
	CertFile string
	KeyFile  string
	TLS      *tls.Config
	Routes   []rest.Route
}

// Open serves until the returned function is called. A failure to listen later goes to ends.
func (l Listener) Open(ends chan<- error) (StopFunc, error) {
	server, err := l.build()
	if err != nil {
		return nil, err
	}
	// The rest server panics if it cannot listen; this check gives a readable error.
	probe, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	_ = probe.Close()
	ready := make(chan *http.Server, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				ends <- errors.Errorf("listen on %s: %v", l.Address, p)
			}
		}()
		server.StartWithOpts(func(hs *http.Server) {
			hs.ReadHeaderTimeout = readHeaderTimeout
			hs.MaxHeaderBytes = maxHeaderBytes
			ready <- hs
		})
	}()
	hs := <-ready
	return func(ctx context.Context) { _ = hs.Shutdown(ctx) }, nil
}

// build returns the rest server with all middlewares off: the shedder, the breaker and the timeout would take admission
// decisions a second time, and the log writes a line for each request.
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
			// go-zero ends the process by itself some time after a signal; a planned stop may take longer.
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
