package main

import (
	"fmt"
	"time"
)

func init() { cases["planned-stop"] = plannedStop }

const (
	// statementWork is how long the backend works on a request. The requests "landlord-statement" of the sheet take
	// 410 ms in the mean, 3 in 100 of them 7 times as long, and 4,300 ms at most.
	statementWork = 2400 * time.Millisecond
	// excusedTime is the time after SIGTERM in which a request must be sent for the rule to excuse its being cut off.
	excusedTime = 3 * time.Second
)

// plannedStop stops the node that takes the clients' requests, and counts the requests that it took, passed on and cut off.
func plannedStop(f *fleet) (verdict, error) {
	front := &backend{name: "front-1", service: "front", zone: "z1", slots: 50, work: constant(20 * time.Millisecond)}
	portfolio := &backend{name: "portfolio-1", service: "portfolio", zone: "z2", slots: 100, work: constant(statementWork)}
	f.route("/statement/", "portfolio", "idempotent", 2, 2, 5000, 3000)
	if err := f.begin(front, portfolio); err != nil {
		return verdict{}, err
	}
	n := f.nodes[0]
	begin := time.Now()
	const stopAt = 4 * time.Second
	var sigterm time.Time
	go platformAsks(f, n)
	for i := 0; time.Since(begin) < stopAt+4500*time.Millisecond; i++ {
		if f.trouble && sigterm.IsZero() && time.Since(begin) >= stopAt {
			sigterm = time.Now()
			go func() {
				n.stop()
				f.rec.add("the platform starts node %s again", n.name)
				_ = n.start()
			}()
		}
		f.clients.goSend(n, "GET", fmt.Sprintf("/statement/%d", i), "", 5*time.Second, nil)
		time.Sleep(100 * time.Millisecond)
	}
	attempts := f.clients.all()
	ran := map[string]run{}
	for _, r := range portfolio.allRuns() {
		ran[r.attempt] = r
	}
	cut, excused, served, refused := 0, 0, 0, 0
	for _, a := range attempts {
		r, passedOn := ran[a.id]
		switch {
		case a.status == 200:
			served++
		case a.status == 503:
			refused++
		case a.status == 0 && passedOn && !r.cut && !sigterm.IsZero() && a.sent.After(sigterm) && a.ended.Sub(a.sent) < 4*time.Second:
			if a.sent.Sub(sigterm) <= excusedTime {
				excused++
				continue
			}
			cut++
			f.rec.add("cut: %s, sent %d ms after SIGTERM, passed on, ended without an answer %d ms after SIGTERM", a.id,
				a.sent.Sub(sigterm).Milliseconds(), a.ended.Sub(sigterm).Milliseconds())
		}
	}
	if served == 0 {
		return verdict{}, fmt.Errorf("no request was served")
	}
	return verdict{broken: cut > 0, summary: fmt.Sprintf(
		"%d requests sent, %d served, %d refused; sent later than 3 s after SIGTERM, passed on to the backend and cut off without an answer: %d (sent earlier: %d)",
		len(attempts), served, refused, cut, excused)}, nil
}

// platformAsks asks the readiness question once a second, for the record. The zone has one node, so the clients stay with it.
func platformAsks(f *fleet, n *node) {
	for range 12 {
		f.rec.add("platform asks %s: ready %t", n.name, n.isReady())
		time.Sleep(time.Second)
	}
}
