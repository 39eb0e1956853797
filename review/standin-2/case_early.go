package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	shopHost = "shop.example"
	// longBody is the length of the bodies in the case early-answer; it exceeds what the kernel usually buffers for a connection (4 MiB).
	// readBefore is what the backend reads before it answers.
	longBody   = 24 << 20
	readBefore = 64 << 10
	// readingPause is how long the backend waits after its answer until it reads on.
	readingPause = 200 * time.Millisecond
)

// randomBody returns a body of the length that differs from request to request.
func randomBody(length int, seed uint64) []byte {
	r := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	b := make([]byte, length)
	_, _ = r.Read(b)
	return b
}

// startShop starts two nodes with their backends: those of the service front, at which the clients send, and orders.
func startShop(f *fleet, receiveBuffer int, answer func(b *backend, a *arrival) bool) (front *node, err error) {
	f.configure(map[string]route{
		"order":  {Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", TimeoutMs: 5000, TargetMs: 1500, Service: "orders", MaxAttempts: 2},
		"stock":  {Host: shopHost, Prefix: "/stock/", Kind: "idempotent", TimeoutMs: 5000, TargetMs: 1500, Priority: 2, Service: "orders", MaxAttempts: 2},
		"bundle": {Host: shopHost, Prefix: "/bundle/", Kind: "download", TimeoutMs: 5000, TargetMs: 1500, Priority: 2, Service: "orders", MaxAttempts: 2},
	}, []string{"front", "orders"})
	for _, service := range []string{"front", "orders"} {
		n, err := f.addNode("sidecar-"+service, service)
		if err != nil {
			return nil, err
		}
		b, err := startBackend(n, "i-"+service, receiveBuffer, answer)
		if err != nil {
			return nil, err
		}
		f.backends = append(f.backends, b)
	}
	front = f.nodes[0]
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	if err := f.awaitServed(front, http.MethodGet, shopHost, "/stock/warm"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // longer than stabilityWindowMs
	return front, nil
}

// runEarlyAnswer: a backend answers with success before it has read a long body, keeps the connection and reads on. Without TROUBLE it
// reads the whole body first.
func runEarlyAnswer(f *fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	got := map[string]string{} // by attempt, the hash of the body that the backend read, or why it could not read it
	answer := func(b *backend, a *arrival) bool {
		whole := b.head(a, 2000) + strings.Repeat("x", 2000)
		if strings.HasSuffix(a.target, "/warm") {
			_, err := io.WriteString(a.conn, whole)
			return err == nil
		}
		h := sha256.New()
		n, err := io.CopyN(h, a.request.Body, readBefore)
		if trouble {
			_, werr := io.WriteString(a.conn, whole)
			f.note("backend: %s answered with 200 after %d bytes of its body, error %v", a.attempt, n, werr)
			time.Sleep(readingPause)
		}
		var rest int64
		if err == nil {
			rest, err = io.Copy(h, a.request.Body)
		}
		sum := fmt.Sprintf("%x", h.Sum(nil))
		f.note("backend: %s read %d of %d bytes of its body, error %v", a.attempt, n+rest, a.request.ContentLength, err)
		if err != nil {
			sum = fmt.Sprintf("%d of %d bytes, then %v", n+rest, a.request.ContentLength, err)
		}
		mu.Lock()
		got[a.attempt] = sum
		mu.Unlock()
		if err == nil && !trouble {
			_, err = io.WriteString(a.conn, whole)
		}
		return err == nil
	}
	front, err := startShop(f, 64<<10, answer)
	if err != nil {
		return failed, err
	}
	sent := map[string]string{}
	served := 0
	for i := range 6 {
		method, target := http.MethodPost, "/order/1"
		if i%2 == 1 {
			method, target = http.MethodPut, "/stock/1"
		}
		body := randomBody(longBody, uint64(i))
		attempt := fmt.Sprintf("early-%d", i)
		sent[attempt] = fmt.Sprintf("%x", sha256.Sum256(body))
		f.note("client: %s sends %s %s with %d bytes", attempt, method, target, len(body))
		r := send(front.outbound, method, shopHost, target, attempt, 5*time.Second, body)
		f.note("client: %s %s", attempt, r.line())
		if r.status == http.StatusOK && r.signature != "" && r.complete {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second) // the backend reads on
	mu.Lock()
	defer mu.Unlock()
	changed := 0
	for attempt, sum := range got {
		if sum != sent[attempt] {
			changed++
			f.note("CHANGED: %s was run with another body than its client sent: %s", attempt, sum)
		}
	}
	f.note("%d of 6 answered with the backend's success; %d run with a body that is not the client's", served, changed)
	if len(got) == 0 {
		return failed, fmt.Errorf("no request reached the backend")
	}
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}
