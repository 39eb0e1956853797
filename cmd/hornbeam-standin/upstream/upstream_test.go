package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/cmd/hornbeam-standin/exchange"
)

// scenario is the content of a file under testdata: settings, a request and the expected outcome.
type scenario struct {
	// Guards names the failure that the scenario guards against.
	Guards   string            `json:"guards"`
	Settings string            `json:"settings"`
	Control  *Control          `json:"control"`
	Type     string            `json:"type"`
	Headers  map[string]string `json:"headers"`
	Body     exchange.Request  `json:"body"`
	// ChildFailures is the number of child calls that the fake node fails before it answers.
	ChildFailures int `json:"child-failures"`

	Status     int  `json:"status"`
	Whole      bool `json:"whole"`
	Runs       int  `json:"runs"`
	ChildCalls int  `json:"child-calls"`
	Cancelled  bool `json:"cancelled"`
	Crashes    int  `json:"crashes"`
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios under testdata: ", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runScenario(t, file) })
	}
}

func runScenario(t *testing.T, file string) {
	is := is.NewRelaxed(t)
	data, err := os.ReadFile(file)
	is.NoErr(err)
	var s scenario
	is.NoErr(json.Unmarshal(data, &s))
	node := &fakeNode{failures: s.ChildFailures}
	server := httptest.NewServer(node)
	defer server.Close()
	u, crashes := start(t, strings.ReplaceAll(s.Settings, "NODE", strings.TrimPrefix(server.URL, "http://")))
	if s.Control != nil {
		body, _ := json.Marshal(s.Control)
		_, err := http.Post("http://"+u.ControlAddress()+"/control", "application/json", bytes.NewReader(body))
		is.NoErr(err)
	}
	status, answer := call(t, u, s)
	is.Equal(status, s.Status)                                // status
	is.Equal(exchange.Verify(s.Body, answer) == nil, s.Whole) // complete answer
	runs := executed(t, u)
	is.Equal(len(runs), s.Runs)
	is.Equal(node.calls, s.ChildCalls)
	is.Equal(*crashes, s.Crashes)
	for _, run := range runs {
		is.Equal(run.Marker, s.Body.Marker)
		is.Equal(run.Cancelled, s.Cancelled)
		is.Equal(run.Key, s.Headers["Idempotency-Key"])
	}
}

// fakeNode stands in for the upstream's node. It fails the first child calls and any call that lacks the headers that
// the upstream must pass on.
type fakeNode struct{ calls, failures int }

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls++
	if f.calls <= f.failures || r.Header.Get("Hornbeam-Call") != "c1" || r.Header.Get("Request-Timeout") == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var request exchange.Request
	_ = json.NewDecoder(r.Body).Decode(&request)
	_ = json.NewEncoder(w).Encode(exchange.NewReply(request, "child", "type", ""))
}

// start runs an upstream until the test ends. It returns the upstream and the number of times that Exit was called.
func start(t *testing.T, settings string) (*Upstream, *int) {
	t.Helper()
	cfg, err := Load([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	u, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	crashes := 0
	u.Exit = func(int) { crashes++ }
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = u.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return u, &crashes
}

// call sends the scenario's request and returns the status and the body of the answer.
func call(t *testing.T, u *Upstream, s scenario) (int, []byte) {
	t.Helper()
	body, _ := json.Marshal(s.Body)
	r, _ := http.NewRequest(http.MethodPost, "http://"+u.Address()+"/sizing/"+s.Type, bytes.NewReader(body))
	for name, v := range s.Headers {
		r.Header.Set(name, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// executed returns the executions that the upstream reports.
func executed(t *testing.T, u *Upstream) []Execution {
	t.Helper()
	resp, err := http.Get("http://" + u.ControlAddress() + "/executed")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var e Executed
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		t.Fatal(err)
	}
	return e.Executions
}

// Guards against silenced connections that still answer, and against new connections that are silent too.
func TestSilenceOpen(t *testing.T) {
	is := is.New(t)
	u, _ := start(t, "[upstream]\nservice = sizing\nservice-time = 1ms")
	s := scenario{Type: "size", Body: exchange.Request{Marker: "m"}}
	status, _ := call(t, u, s)
	is.Equal(status, http.StatusOK)
	_, err := http.Post("http://"+u.ControlAddress()+"/silence-open", "", nil)
	is.NoErr(err)
	// The default client reuses its connection, which is silenced now, so that only the timeout ends the request.
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address()+"/sizing/size", strings.NewReader(`{"marker":"m"}`))
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil)
	status, _ = call(t, u, s)
	is.Equal(status, http.StatusOK)
}

// Guards against a limit on connections that is not enforced.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	u, _ := start(t, "[upstream]\nservice = sizing\nservice-time = 1ms\nslots = 1\nconnections = 1")
	callNewConn := func() (*http.Response, error) {
		c := &http.Client{Transport: &http.Transport{}}
		return c.Post("http://"+u.Address()+"/sizing/size", "application/json", strings.NewReader(`{"marker":"m"}`))
	}
	first, err := callNewConn()
	is.NoErr(err)
	_, err = callNewConn()
	is.True(err != nil)
	_, _ = io.ReadAll(first.Body)
	_ = first.Body.Close()
}
