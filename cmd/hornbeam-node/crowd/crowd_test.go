package crowd

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/portallocator"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// memoryMB is the memory limit in the settings of the node, and the bound of its resident memory.
	memoryMB = 64
	// maxDescriptors is the limit of the node's open descriptors; spareDescriptors of them must stay free for its upstream, its
	// peers and the store.
	maxDescriptors   = 400
	spareDescriptors = 100
	// crowdConns is the number of connections of a crowd that sends bytes, idleConns of one that only connects.
	crowdConns = 250
	idleConns  = 600
	// crowdBytes is what each connection of a crowd sends, unless the node closes it before.
	crowdBytes = 1 << 20
	// unfinishedBytes is less than the node's own limit for a head, so that the head is held until it ends.
	unfinishedBytes = 240 << 10
	// sendTime bounds how long the crowd sends, answerTime how long an ordinary caller may try.
	sendTime   = 5 * time.Second
	answerTime = 15 * time.Second

	routeHost = "test.example"
)

// ports are those of no other test.
var ports = portallocator.PortAllocator{First: 28100, Last: 30000}

// node is a node that runs as a process of its own, with an upstream and a store as stand-ins.
type node struct {
	ingress, links, announcements, readiness, metrics string

	cmd *exec.Cmd
}

// build compiles the node once for all tests.
var build = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	program := filepath.Join(folder, "hornbeam-node")
	out, err := exec.Command("go", "build", "-o", program, "hornbeamcroft/cmd/hornbeam-node").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return program, nil
})

// startNode starts a node that serves an idempotent route.
func startNode(t *testing.T) *node {
	t.Helper()
	return startNodeBeside(t, &worker.Worker{
		Service: "s", Zone: "z", Slots: 8, Work: 10 * time.Millisecond, OnRun: func(worker.Run) {}, OnArrival: func(worker.Run) {},
	})
}

// startNodeBeside starts a node that serves an idempotent route of the worker, or of the upstream at the address that it announces.
func startNodeBeside(t *testing.T, w *worker.Worker) *node {
	t.Helper()
	n := startNodeUnannounced(t, w)
	n.announce(t, w)
	return n
}

// announce announces the worker, and returns when the node serves requests.
func (n *node) announce(t *testing.T, w *worker.Worker) {
	t.Helper()
	await(t, func() bool { return w.Announce(n.announcements) == nil })
	await(t, n.answers)
}

// earlierRecord returns the record of an earlier process of the node, which has used an upstream. Without one, the node sends no health probes.
func earlierRecord(t *testing.T) []byte {
	t.Helper()
	value, err := cbor.Marshal(hornbeamcroft.Member{
		Name: "a", Service: "s", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, State: hornbeamcroft.MemberServing, Slots: 8,
		Instance: "i-before", Born: 1,
	})
	is.New(t).NoErr(err)
	return value
}

// startNodeUnannounced starts a node whose upstream does not announce itself yet.
func startNodeUnannounced(t *testing.T, w *worker.Worker) *node {
	t.Helper()
	is := is.New(t)
	program, err := build()
	is.NoErr(err)
	store := &storeserver.StoreServer{}
	server := httptest.NewServer(store)
	stop := make(chan struct{})
	go store.Run(stop)
	is.NoErr(w.Start("127.0.0.1:0"))
	upstream := cmp.Or(w.Announced, w.Address())
	value, err := operator.Operator{HealthPath: worker.HealthPath}.Document(1, []operator.Route{{
		Name: "get", Host: routeHost, Prefix: "/get/", Service: "s", Idempotent: true, Timeout: 5 * time.Second, Objective: time.Second,
	}})
	is.NoErr(err)
	store.Put(storeserver.KeyConfiguration, value)
	store.Put(storeserver.MembersPrefix+"a", earlierRecord(t))
	n := &node{}
	var b strings.Builder
	fmt.Fprintf(&b, "[agent]\nname = a\nservice = s\nzone = z\nmemory-mb = %d\nbounds = graceS=6\nupstream = %s\n", memoryMB, upstream)
	for key, address := range map[string]*string{
		"way-in": &n.ingress, "links": &n.links, "announcements": &n.announcements, "readiness": &n.readiness, "metrics": &n.metrics,
	} {
		*address, err = ports.Address()
		is.NoErr(err)
		fmt.Fprintf(&b, "%s = %s\n", key, *address)
	}
	fmt.Fprintf(&b, "[platform-store]\naddress = %s\n", strings.TrimPrefix(server.URL, "http://"))
	path := filepath.Join(t.TempDir(), "agent.ini")
	is.NoErr(os.WriteFile(path, []byte(b.String()), 0o600))
	log, err := os.Create(filepath.Join(t.TempDir(), "node.log"))
	is.NoErr(err)
	n.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s agent --settings %s", maxDescriptors, program, path))
	n.cmd.Stdout, n.cmd.Stderr = log, log
	is.NoErr(n.cmd.Start())
	t.Cleanup(func() {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		w.Crash()
		close(stop)
		server.CloseClientConnections()
		server.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("%s", data[max(0, len(data)-2000):])
		}
	})
	return n
}

// await fails the test unless the condition becomes true in time.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(answerTime); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the condition did not become true within %s", answerTime)
		}
	}
}

// answers reports whether the node serves an ordinary request.
func (n *node) answers() bool {
	c := &caller.Caller{Address: n.ingress}
	defer c.Close()
	o := c.Send(caller.Attempt{
		ID: strconv.FormatInt(time.Now().UnixNano(), 36), Method: http.MethodGet, Host: routeHost, Target: "/get/1", Remaining: 5 * time.Second,
	})
	return o.Status == http.StatusOK && o.Complete
}

// status returns the value in kB or as a count of a field of the process's status.
func (n *node) status(t *testing.T, field string) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal("the node has ended: ", err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			number, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return number
		}
	}
	t.Fatal("the node has ended")
	return 0
}

// descriptors returns the number of open descriptors of the node.
func (n *node) descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal("the node has ended: ", err)
	}
	return len(list)
}

// crowd is a number of connections whose callers do not keep the limits.
type crowd struct {
	name string
	// address returns the address that the crowd connects to.
	address func(n *node) string
	conns   int
	// send sends what the crowd sends on one connection. An error means that the node has closed it.
	send func(c net.Conn) error
}

// repeat sends the head and then the text until the given number of bytes is sent.
func repeat(head, text string, bytes int) func(c net.Conn) error {
	text = strings.Repeat(text, 1+(16<<10)/len(text))
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, head); err != nil {
			return err
		}
		for sent := len(head); sent < bytes; sent += len(text) {
			if _, err := io.WriteString(c, text[:min(len(text), bytes-sent)]); err != nil {
				return err
			}
		}
		return nil
	}
}

const (
	requestLine  = "GET /get/1 HTTP/1.1\r\nHost: " + routeHost + "\r\n"
	postComplete = "POST /get/1 HTTP/1.1\r\nHost: " + routeHost + "\r\nAttempt-Id: x\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
	heartbeat    = "POST /hornbeamcroft/rpc?call=instances.heartbeat&of=x HTTP/1.1\r\nHost: x\r\n"
)

func (n *node) ingressAddress() string       { return n.ingress }
func (n *node) announcementsAddress() string { return n.announcements }
func (n *node) readinessAddress() string     { return n.readiness }
func (n *node) linksAddress() string         { return n.links }

// crowds are the crowds, each of which comes alone.
var crowds = []crowd{
	{"one long field", (*node).ingressAddress, crowdConns, repeat(requestLine+"X: ", "x", unfinishedBytes)},
	{"short fields", (*node).ingressAddress, crowdConns, repeat(requestLine, "a:\r\n", unfinishedBytes)},
	{"different fields", (*node).ingressAddress, crowdConns, differentFields(unfinishedBytes)},
	{"head without end", (*node).ingressAddress, crowdConns, repeat(requestLine, "Field: value\r\n", crowdBytes)},
	{"long request line", (*node).ingressAddress, crowdConns, repeat("GET /get/", "x", unfinishedBytes)},
	{"empty lines", (*node).ingressAddress, crowdConns, repeat("", "\r\n", crowdBytes)},
	{"empty lines after a request", (*node).ingressAddress, crowdConns, repeat(postComplete, "\r\n", crowdBytes)},
	{"requests without reading", (*node).ingressAddress, crowdConns, repeat(postComplete, postComplete, crowdBytes)},
	{"connections", (*node).ingressAddress, idleConns, repeat("", "G", 1)},
	{"announcements, head without end", (*node).announcementsAddress, crowdConns, repeat(heartbeat, "a:\r\n", crowdBytes)},
	{"announcements, body without end", (*node).announcementsAddress, crowdConns, repeat(heartbeat+"Content-Length: 1000000000\r\n\r\n", " ", crowdBytes)},
	{"announcements, connections", (*node).announcementsAddress, idleConns, repeat("", "P", 1)},
	{"readiness, head without end", (*node).readinessAddress, crowdConns, repeat("GET / HTTP/1.1\r\n", "a:\r\n", crowdBytes)},
	{"readiness, connections", (*node).readinessAddress, idleConns, repeat("", "G", 1)},
	{"links, head without end", (*node).linksAddress, crowdConns, repeat("GET /link HTTP/1.1\r\n", "a:\r\n", crowdBytes)},
	{"links, connections", (*node).linksAddress, idleConns, repeat("", "G", 1)},
}

// differentFields sends fields with names of their own, which cost more memory than the same name again.
func differentFields(bytes int) func(c net.Conn) error {
	var b strings.Builder
	b.WriteString(requestLine)
	for i := 0; b.Len() < bytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return func(c net.Conn) error {
		_, err := io.WriteString(c, b.String())
		return err
	}
}

// come opens the connections of the crowd and sends on all of them. They stay open until the test ends.
func (cr crowd) come(t *testing.T, n *node) {
	t.Helper()
	var sending sync.WaitGroup
	for range cr.conns {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp", cr.address(n), sendTime)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(sendTime))
			_ = cr.send(c)
		})
	}
	sending.Wait()
}

// TestCrowd guards against callers beyond the limits that end a node, or keep it from answering others: its memory and its
// descriptors must stay within their limits, and an ordinary caller gets its answer while the crowd is still connected.
func TestCrowd(t *testing.T) {
	for _, cr := range crowds {
		t.Run(cr.name, func(t *testing.T) {
			is := is.New(t)
			n := startNode(t)
			before := n.status(t, "VmHWM")
			cr.come(t, n)
			await(t, n.answers)
			peak, open := n.status(t, "VmHWM"), n.descriptors(t)
			t.Logf("peak of resident memory %d kB (%d kB before the crowd), %d descriptors", peak, before, open)
			is.True(peak <= memoryMB<<10)                    // resident memory stays within the limit
			is.True(open <= maxDescriptors-spareDescriptors) // descriptors stay free
		})
	}
}
