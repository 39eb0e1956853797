// Package platform is a stand-in for the platform's key-value store in tests, the demo and measurements. It serves the part of
// the JSON/HTTP gateway of etcd v3 that hornbeamcroft uses, from memory and without replication, and injects faults.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"hornbeamcroft"
	"hornbeamcroft/parser"
	"hornbeamcroft/signer"
)

// maxRequestBytes is the maximum size of a request: enough for several values of 1 MB in base64.
const maxRequestBytes = 8 << 20

// expiryInterval is how often Run checks leases for expiry, so that watches receive the deletions even if no call is made.
const expiryInterval = 50 * time.Millisecond

// Server is the stand-in, as an http.Handler. Set Now before Init and OperatorsKey before Load. It is safe for concurrent use
// after Init.
type Server struct {
	// Now returns the time by which leases expire; time.Now if nil.
	Now func() time.Time
	// OperatorsKey is the key with which Load signs the document. If it is empty, the document has no proof.
	OperatorsKey string

	state   *state
	control *control
	handler *rest.Serverless
}

// New returns a server without keys, at revision 1 of the store.
func New() (*Server, error) {
	s := &Server{}
	return s, s.Init()
}

// Init creates the empty data and the routes. New calls it; a Server that was not made by New needs one call of Init before its
// first use.
func (s *Server) Init() error {
	if s.Now == nil {
		s.Now = time.Now
	}
	s.state, s.control = newState(s.Now), newControl()
	s.state.staleSnapshot = func() string {
		f, _ := s.control.currentFaults()
		return f.StaleSnapshot
	}
	// All middlewares are disabled, so that the stand-in fails only through its injected faults and watches have no timeout.
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "platform", Mode: service.ProMode, Log: logx.LogConf{Mode: "console", Level: "severe"}},
		Host:        "127.0.0.1", MaxBytes: maxRequestBytes, Middlewares: rest.MiddlewaresConf{},
	}
	server, err := rest.NewServer(conf)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	logx.DisableStat()
	server.AddRoutes(s.routes())
	s.handler, err = rest.NewServerless(server)
	return err
}

// routes returns the routes of the gateway's calls, which are counted and subject to the injected faults, and the routes below
// /control/, which are not.
func (s *Server) routes() []rest.Route {
	post := func(path string, fn http.HandlerFunc) rest.Route {
		return rest.Route{Method: http.MethodPost, Path: path, Handler: func(w http.ResponseWriter, r *http.Request) {
			s.control.beginCall(r)
			fn(w, r)
		}}
	}
	return []rest.Route{
		post("/v3/kv/range", handle(s, false, s.state.getRange)),
		post("/v3/kv/txn", handle(s, true, s.state.txn)),
		post("/v3/lease/grant", handle(s, true, s.state.grant)),
		post("/v3/lease/keepalive", handle(s, true, s.state.keepAlive)),
		post("/v3/lease/revoke", handle(s, true, s.state.revoke)),
		post("/v3/watch", s.watch),
		{Method: http.MethodGet, Path: "/control/counts", Handler: s.control.handleCounts},
		{Method: http.MethodGet, Path: "/control/faults", Handler: s.control.handleGetFaults},
		{Method: http.MethodPut, Path: "/control/faults", Handler: s.control.handlePutFaults},
		{Method: http.MethodPost, Path: "/control/copies/:name", Handler: s.handleSaveSnapshot},
		{Method: http.MethodPost, Path: "/control/restore/:name", Handler: s.handleRestoreSnapshot},
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.Serve(w, r) }

// Run expires leases every expiryInterval until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.state.mu.Lock()
			s.state.expire()
			s.state.mu.Unlock()
		}
	}
}

// SetFaults replaces the injected faults, as PUT /control/faults does.
func (s *Server) SetFaults(f Faults) { s.control.setFaults(f) }

// Counts returns the number of calls by path, and their sum under "all", as GET /control/counts does.
func (s *Server) Counts() map[string]int { return s.control.callCounts() }

// Load stores INI text as revision 1 of the document, with a proof made with OperatorsKey. The text must be a valid document.
func (s *Server) Load(text []byte) error {
	sections, err := parser.Split(text)
	if err != nil {
		return err
	}
	for i := range sections {
		sections[i].Generation, sections[i].Writer = 1, "load"
	}
	stored := hornbeamcroft.StoredDocument{Revision: 1, Sections: sections}
	if _, err := parser.Parse(stored); err != nil {
		return err
	}
	if err := (signer.Signer{Key: []byte(s.OperatorsKey)}).Sign(&stored); err != nil {
		return err
	}
	data, err := parser.Encode(stored)
	if err != nil {
		return err
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.apply([]requestOp{{Put: &putRequest{Key: []byte(hornbeamcroft.KeyDocument), Value: data}}})
	return nil
}

// handle returns the handler of an operation. A write is applied before its answer may be lost.
func handle[In, Out any](s *Server, write bool, op func(In) (Out, *apiError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if !decode(w, r, &in) {
			return
		}
		out, apiErr := op(in)
		if write && s.control.loseAnswer() {
			abort()
		}
		if apiErr != nil {
			writeJSON(w, apiErr.http, errorResponse{apiErr.message, apiErr.grpcCode, apiErr.message})
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

// decode decodes the body of a request into in. If that fails, it answers with the status 400 and reports false.
func decode(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(in); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error(), grpcInvalidArgument, err.Error()})
		return false
	}
	return true
}
