// Package platform is a stand-in for the platform's key-value store in tests, the demo and measurements. It speaks the
// part of the JSON/HTTP gateway of etcd v3 that hornbeamcroft uses, in memory and without replication, and has fault
// switches.
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

// maxRequest bounds a request in bytes: several values of 1 MB in base64.
const maxRequest = 8 << 20

// expiryInterval is the time between checks of leases, so that watches see expiry without another call.
const expiryInterval = 50 * time.Millisecond

// Server is the stand-in. Exported fields are set before Init.
type Server struct {
	// Now is the clock of the leases; time.Now if nil.
	Now func() time.Time
	// OperatorsKey proves the document of Load; without it the document has no proof.
	OperatorsKey string

	state   *state
	control *control
	handler *rest.Serverless
}

// New returns a server with empty data at revision 1.
func New() (*Server, error) {
	s := &Server{}
	return s, s.Init()
}

// Init prepares the routes. It must be called once if the Server was not made by New.
func (s *Server) Init() error {
	if s.Now == nil {
		s.Now = time.Now
	}
	s.state, s.control = newState(s.Now), newControl()
	s.state.staleCopy = func() string {
		f, _ := s.control.get()
		return f.StaleCopy
	}
	// All middlewares are off: the stand-in fails only by its switches, and watches have no timeout.
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "platform", Mode: service.ProMode, Log: logx.LogConf{Mode: "console", Level: "severe"}},
		Host:        "127.0.0.1", MaxBytes: maxRequest, Middlewares: rest.MiddlewaresConf{},
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

func (s *Server) routes() []rest.Route {
	post := func(path string, fn http.HandlerFunc) rest.Route {
		return rest.Route{Method: http.MethodPost, Path: path, Handler: func(w http.ResponseWriter, r *http.Request) {
			s.control.before(r)
			fn(w, r)
		}}
	}
	return []rest.Route{
		post("/v3/kv/range", handle(s, false, s.state.get)),
		post("/v3/kv/txn", handle(s, true, s.state.txn)),
		post("/v3/lease/grant", handle(s, true, s.state.grant)),
		post("/v3/lease/keepalive", handle(s, true, s.state.keepAlive)),
		post("/v3/lease/revoke", handle(s, true, s.state.end)),
		post("/v3/watch", s.watch),
		{Method: http.MethodGet, Path: "/control/counts", Handler: s.control.handleCounts},
		{Method: http.MethodGet, Path: "/control/faults", Handler: s.control.handleGetFaults},
		{Method: http.MethodPut, Path: "/control/faults", Handler: s.control.handlePutFaults},
		{Method: http.MethodPost, Path: "/control/copies/:name", Handler: s.handleSave},
		{Method: http.MethodPost, Path: "/control/restore/:name", Handler: s.handleRestore},
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.Serve(w, r) }

// Run lets leases expire until ctx ends.
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

// SetFaults replaces the fault switches, as PUT /control/faults does.
func (s *Server) SetFaults(f Faults) { s.control.set(f) }

// Counts returns the number of calls by path, as GET /control/counts does; "all" is their sum.
func (s *Server) Counts() map[string]int { return s.control.snapshot() }

// Load stores INI text as the document at revision 1. The text must be a valid document.
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

// handle adapts an operation. A write whose answer is lost has been applied.
func handle[In, Out any](s *Server, write bool, op func(In) (Out, *failure)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if !decode(w, r, &in) {
			return
		}
		out, f := op(in)
		if write && s.control.loseAnswer() {
			abort()
		}
		if f != nil {
			writeJSON(w, f.http, status{f.message, f.code, f.message})
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

func decode(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(in); err != nil {
		writeJSON(w, http.StatusBadRequest, status{err.Error(), codeInvalidArgument, err.Error()})
		return false
	}
	return true
}
