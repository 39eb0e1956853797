package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["unsigned-success"] = unsignedSuccess }

const (
	// spoiledEvery is the number of answers of which the faulty backend spoils one, 0.03 of them, in the time from spoilFrom to
	// spoilTo after the first request.
	spoiledEvery = 33
	spoilFrom    = 3 * time.Second
	spoilTo      = 8 * time.Second
)

// unsignedSuccess lets one of two backends spoil the name of the signature field in some answers, and counts the successes without
// a signature that clients get.
func unsignedSuccess(f *fleet) (verdict, error) {
	front := &backend{name: "front-1", service: "front", zone: "z1", slots: 50, work: constant(20 * time.Millisecond)}
	var orders []*backend
	for i := range 2 {
		orders = append(orders, &backend{
			name: fmt.Sprintf("orders-%d", i+1), service: "orders", zone: "z2", slots: 100, work: constant(80 * time.Millisecond),
		})
	}
	if f.trouble {
		begin := sync.OnceValue(time.Now)
		orders[0].spoil = func(n int64) bool {
			age := time.Since(begin())
			return n%spoiledEvery == 0 && age >= spoilFrom && age < spoilTo
		}
		orders[0].spoilHead = func(h map[string][]string) {
			h["Server-Signatvre"] = h["Server-Signature"]
			delete(h, "Server-Signature")
		}
	}
	f.route("/order/", "orders", "non_idempotent", 0, 2, 5000, 1200)
	f.route("/lookup/", "orders", "idempotent", 2, 2, 5000, 1200)
	if err := f.begin(front, orders[0], orders[1]); err != nil {
		return verdict{}, err
	}
	for i := range 500 {
		f.clients.goSend(f.nodes[0], "POST", fmt.Sprintf("/order/%d", i), "kit=1", 5*time.Second, nil)
		f.clients.goSend(f.nodes[0], "GET", fmt.Sprintf("/lookup/%d", i), "", 5*time.Second, nil)
		time.Sleep(20 * time.Millisecond)
	}
	served, unsigned := 0, 0
	attempts := f.clients.all()
	for _, a := range attempts {
		switch {
		case a.status == 200 && !a.signed:
			unsigned++
			f.rec.add("a client got a success without a signature: %s", a.id)
		case a.status == 200:
			served++
		}
	}
	if served == 0 {
		return verdict{}, fmt.Errorf("no request was served")
	}
	return verdict{broken: unsigned > 0, summary: fmt.Sprintf(
		"%d requests sent, %d served; answers that the backend spoiled: %d; successes without a signature that clients got: %d",
		len(attempts), served, orders[0].spoiled.Load(), unsigned)}, nil
}
