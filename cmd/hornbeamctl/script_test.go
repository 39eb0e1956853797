package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/platform"

	"hornbeamcroft/sloreporter"
)

//go:embed testdata/place.json
var samplePlacement []byte

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hornbeamctl": main})
}

// TestScripts runs the scripts under testdata, which compare the output and the exit status of hornbeamctl, also with
// faults of the store and the nodes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/scripts",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"faults": func(ts *testscript.TestScript, _ bool, args []string) {
				controlStore(ts, http.MethodPut, "faults", args[0])
			},
			"save": func(ts *testscript.TestScript, _ bool, args []string) {
				controlStore(ts, http.MethodPost, "copies/"+args[0], "")
			},
			"restore": func(ts *testscript.TestScript, _ bool, args []string) {
				controlStore(ts, http.MethodPost, "restore/"+args[0], "")
			},
			"node-revision": func(ts *testscript.TestScript, _ bool, args []string) {
				var n uint64
				_, err := fmt.Sscan(args[0], &n)
				ts.Check(err)
				ts.Value("revision").(*atomic.Uint64).Store(n)
			},
			"nodes-diverge": func(ts *testscript.TestScript, _ bool, _ []string) { ts.Value("diverged").(*atomic.Bool).Store(true) },
			"exits":         cmdExits,
		},
	})
}

// setup starts a stand-in store and two stand-in nodes, and sets their addresses in the environment of the script:
// STORE, NODE1 and NODE2. Nothing listens at DEAD.
func setup(env *testscript.Env) error {
	store, err := platform.New()
	if err != nil {
		return err
	}
	server := httptest.NewServer(store)
	env.Defer(server.Close)
	var revision atomic.Uint64
	var diverged atomic.Bool
	env.Values["revision"], env.Values["diverged"] = &revision, &diverged
	env.Values["store"] = server.URL
	env.Setenv("STORE", strings.TrimPrefix(server.URL, "http://"))
	for i, name := range []string{"cash-1", "desk-1"} {
		node := httptest.NewServer(nodeHandler(name, &revision, &diverged))
		env.Defer(node.Close)
		env.Setenv(fmt.Sprintf("NODE%d", i+1), strings.TrimPrefix(node.URL, "http://"))
	}
	env.Setenv("DEAD", "127.0.0.1:1")
	return nil
}

// nodeHandler answers as a node's operators' endpoint does. Requests other than GET /status need the key "secret".
func nodeHandler(name string, revision *atomic.Uint64, diverged *atomic.Bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"name":%q,"service":"cash","zone":"brest","state":"serving","document-revision":%d,"diverged":%t,
			"members":[{"name":"cash-1"},{"name":"lost-1","service":"cash","zone":"vannes"}]}`, name, revision.Load(), diverged.Load())
	})
	authorized := func(answer []byte) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer secret" {
				http.Error(w, "unauthorized", http.StatusUnauthorized)
				return
			}
			_, _ = w.Write(answer)
		}
	}
	mux.HandleFunc("GET /place", func(w http.ResponseWriter, r *http.Request) { servePlacement(w, r, name) })
	mux.HandleFunc("POST /drain", authorized([]byte(`{"started-at":1}`)))
	mux.HandleFunc("GET /slo", authorized(sampleCounts(name)))
	return mux
}

// servePlacement answers with testdata/place.json and the request. It refuses a request with credentials, which must not be sent to the
// metrics address.
func servePlacement(w http.ResponseWriter, r *http.Request, name string) {
	var p hornbeamcroft.Placement
	decoder := json.NewDecoder(bytes.NewReader(samplePlacement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil || r.Header.Get("Authorization") != "" {
		http.Error(w, fmt.Sprint("credentials, or a malformed file: ", err), http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	remaining, _ := strconv.ParseInt(q.Get("remaining-ms"), 10, 64)
	p.Node, p.Request = name, hornbeamcroft.PlacementRequest{
		Host: q.Get("host"), Path: q.Get("path"), Tenant: q.Get("tenant"), Importance: q.Get("importance"), RemainingMs: remaining,
	}
	if p.Request.Path == "/none" { // as a node that starts
		p = hornbeamcroft.Placement{Node: name, Request: p.Request, Refused: p.Refused}
	}
	_ = json.NewEncoder(w).Encode(p)
}

// sampleCounts returns the JSON counts of a node with three good requests of type cash/deposit and a bad one.
func sampleCounts(name string) []byte {
	now := time.Now()
	r := sloreporter.New(now, name, 1)
	if err := r.Register(now, "cash", "deposit"); err != nil {
		panic(err)
	}
	for range 3 {
		r.Record(now, "cash", "deposit", sloreporter.OutcomeGood)
	}
	r.Record(now, "cash", "deposit", sloreporter.OutcomeBad)
	data, err := json.Marshal(r.Snapshot(now))
	if err != nil {
		panic(err)
	}
	return data
}

// controlStore sends a request to the control endpoint of the stand-in store.
func controlStore(ts *testscript.TestScript, method, path, body string) {
	r, err := http.NewRequest(method, ts.Value("store").(string)+"/control/"+path, strings.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("control request to the store: %s", resp.Status)
	}
}

// cmdExits implements "exits STATUS ARGS...": it runs hornbeamctl with ARGS and compares the exit status.
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("hornbeamctl", args[1:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit status %s, want %s", got, args[0])
	}
}

// TestCodesPage guards against a docs/codes.md that differs from the result codes in the code.
func TestCodesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	writeCodes(&b, true)
	if !strings.Contains(string(page), b.String()) {
		t.Errorf("docs/codes.md does not contain this table (hornbeamctl codes --markdown):\n%s", b.String())
	}
}

func Example_codes() {
	writeLine(os.Stdout, "%s", hornbeamcroft.CodeConflict)
	// Output: 502 conflict
}
