package pipeliner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamcroft/reserver"
)

// waitTime bounds each wait of a script; settleTime is how long something that must not happen is waited for.
const (
	waitTime   = 2 * time.Second
	settleTime = 30 * time.Millisecond
)

// harness is one connection whose handler answers when the script says so. Requests are named by the last part of their path; those below
// /i/ may run ahead.
type harness struct {
	client       net.Conn
	conn         *Pipeliner
	reader       *bufio.Reader
	heads, ahead *reserver.Reserver
	ended        chan struct{}

	mu      sync.Mutex
	running map[string]chan string
	began   []string
	gone    []string
}

func (w *harness) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	name := filepath.Base(r.URL.Path)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		name += "!"
	}
	answer := make(chan string, 1)
	w.mu.Lock()
	w.running[name] = answer
	w.began = append(w.began, name)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.running, name)
	}()
	var how string
	select {
	case how = <-answer:
	case <-r.Context().Done():
		w.mu.Lock()
		w.gone = append(w.gone, name)
		w.mu.Unlock()
		return
	}
	text := name + string(body)
	switch how {
	case "panic":
		panic(http.ErrAbortHandler)
	case "close":
		rw.Header().Set("Connection", "close")
	case "reject":
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case "large":
		text += strings.Repeat("x", 300<<10)
	}
	if how != "undeclared" {
		rw.Header().Set("Content-Length", fmt.Sprint(len(text)))
	}
	_, _ = io.WriteString(rw, text)
	if how == "undeclared" {
		_, _ = io.WriteString(rw, strings.Repeat("y", 3*bufferBytes))
	}
}

// open opens the connection.
func open(t testing.TB, rules Rules) *harness {
	w := &harness{
		heads: &reserver.Reserver{Limit: 200 << 10}, ahead: &reserver.Reserver{Limit: 1 << 20}, ended: make(chan struct{}),
		running: make(map[string]chan string),
	}
	if rules.Handler == nil {
		rules.Handler = w
	}
	rules.MaxHeadBytes, rules.MaxFields = func() int { return 4000 }, 100
	if rules.RunsAhead == nil {
		rules.RunsAhead = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/i/") }
	}
	rules.MaxAhead, rules.MaxAheadBytes, rules.MaxRejections = 4, 32<<10, 4
	rules.MakeRoom = func(*Pipeliner) bool { return false }
	heads, ahead := w.heads.Open(), w.ahead.Open()
	rules.OnEnd = func(*Pipeliner) {
		heads.Close()
		ahead.Close()
		close(w.ended)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if w.client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.client.Close() })
	w.reader = bufio.NewReader(w.client)
	w.conn = &Pipeliner{Rules: &rules, Conn: c, Memory: heads, Ahead: ahead}
	w.conn.Init()
	go w.conn.Serve()
	return w
}

// until waits for a condition.
func (w *harness) until(condition func() bool) bool {
	for end := time.Now().Add(waitTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		ok := condition()
		w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// do carries out one line of a script and returns what is wrong; empty if nothing is.
func (w *harness) do(command string, args []string) string {
	switch command {
	case "send":
		text := strings.NewReplacer(`\n`, "\r\n", `\x`, strings.Repeat("x", 500)).Replace(strings.Join(args, " "))
		_, _ = io.WriteString(w.client, text)
	case "get":
		var b strings.Builder
		for _, target := range args {
			fmt.Fprintf(&b, "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", target)
		}
		_, _ = io.WriteString(w.client, b.String())
	case "runs":
		return w.runs(args)
	case "answer":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running[args[0]] <- strings.Join(args[1:], "")
	case "read":
		return w.read(args)
	case "silent":
		_ = w.client.SetReadDeadline(time.Now().Add(settleTime))
		if _, err := w.reader.Peek(1); !os.IsTimeout(err) {
			return fmt.Sprint("bytes or the end have arrived: ", err)
		}
	case "end":
		_ = w.client.SetReadDeadline(time.Now().Add(waitTime))
		if rest, err := io.ReadAll(w.reader); err != nil || len(rest) > 0 {
			return fmt.Sprintf("%q, %v", rest, err)
		}
	case "leave":
		_ = w.client.Close()
	case "gone":
		slices.Sort(args)
		if !w.until(func() bool { slices.Sort(w.gone); return slices.Equal(w.gone, args) }) {
			return fmt.Sprint("cancelled: ", w.gone)
		}
	default:
		return "unknown command"
	}
	return ""
}

// runs checks which requests run.
func (w *harness) runs(names []string) string {
	slices.Sort(names)
	is := func() bool {
		if len(w.running) != len(names) {
			return false
		}
		return !slices.ContainsFunc(names, func(name string) bool { return w.running[name] == nil })
	}
	ok := w.until(is)
	time.Sleep(settleTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok && is() {
		return ""
	}
	return fmt.Sprint("running: ", w.running)
}

// read reads one answer: its status, the start of its body, and whether it closes the connection.
func (w *harness) read(args []string) string {
	_ = w.client.SetReadDeadline(time.Now().Add(waitTime))
	method := http.MethodGet
	if len(args) > 0 && args[0] == "HEAD" {
		method, args = args[0], args[1:]
	}
	resp, err := http.ReadResponse(w.reader, &http.Request{Method: method})
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	got := []string{fmt.Sprint(resp.StatusCode)}
	if text := strings.TrimRight(string(body), "xy"); text != "" {
		got = append(got, text)
	}
	if more := len(body) - len(strings.TrimRight(string(body), "xy")); more > 0 {
		got = append(got, fmt.Sprint("+", more))
	}
	if resp.Close {
		got = append(got, "close")
	}
	if !slices.Equal(got, args) {
		return fmt.Sprint("read ", got)
	}
	return ""
}

// TestScripts guards against answers out of order, requests that run although one before them must end first or although the connection
// is closing, and memory that is not released when the connection has ended.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/scripts/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts")
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			w := open(t, Rules{})
			number := 0
			for line := range strings.Lines(string(text)) {
				number++
				fields := strings.Fields(line)
				if len(fields) == 0 || strings.HasPrefix(line, "#") {
					continue
				}
				if wrong := w.do(fields[0], fields[1:]); wrong != "" {
					t.Fatalf("line %d: %s: %s", number, strings.TrimSpace(line), wrong)
				}
			}
			_ = w.client.Close()
			select {
			case <-w.ended:
			case <-time.After(waitTime):
				t.Fatal("the connection has not ended")
			}
			if n, m := w.heads.Reserved(), w.ahead.Reserved(); n != 0 || m != 0 {
				t.Fatalf("%d and %d bytes still reserved", n, m)
			}
		})
	}
}
