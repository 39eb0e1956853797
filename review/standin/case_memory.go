package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["answer-memory"] = answerMemory }

const (
	// memoryLimitKB is the limit of the settings, 284 MiB, above which the platform kills a process.
	memoryLimitKB = 284 << 10
	// baseInterval is the time between two orders at the usual load. A burst of burstTime, which comes three times, brings
	// burstFactor times as many.
	baseInterval = 30 * time.Millisecond
	burstFactor  = 1.8
	burstTime    = 20 * time.Second
	pauseTime    = 8 * time.Second
	answerBytes  = 1 << 20
)

// answerMemory sends orders that are answered with 1 MiB each, and more of them in three bursts. It plays the platform, which
// kills a process whose memory exceeds the limit, and counts how often that happens.
func answerMemory(f *fleet) (verdict, error) {
	front := &backend{name: "front-1", service: "front", zone: "z1", slots: 50, work: constant(20 * time.Millisecond)}
	var orders []*backend
	for i := range 2 {
		orders = append(orders, &backend{
			name: fmt.Sprintf("orders-%d", i+1), service: fmt.Sprintf("orders-%d", i+1), zone: "z2", slots: 172, work: constant(120 * time.Millisecond),
			bodyBytes: answerBytes,
		})
	}
	f.route("/order-1/", "orders-1", "non_idempotent", 0, 2, 6000, 1500)
	f.route("/order-2/", "orders-2", "non_idempotent", 0, 2, 6000, 1500)
	if err := f.begin(front, orders[0], orders[1]); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	kills := map[string]int{}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		peak := map[string]int{}
		every(stop, 50*time.Millisecond, func(int) {
			for _, n := range f.nodes {
				kb := n.memoryKB()
				peak[n.name] = max(peak[n.name], kb)
				if kb <= memoryLimitKB {
					continue
				}
				f.rec.add("node %s holds %d KB, more than %d: the platform kills and restarts it", n.name, kb, memoryLimitKB)
				kills[n.name]++
				n.kill()
				_ = n.start()
			}
		})
		f.rec.add("peak memory in KB: %v", peak)
	}()
	begin := time.Now()
	for i := 0; time.Since(begin) < 3*(pauseTime+burstTime); i++ {
		f.clients.goSend(f.nodes[0], "POST", fmt.Sprintf("/order-%d/%d", i%2+1, i), "kit=1", 6*time.Second, nil)
		d := baseInterval
		if f.trouble && time.Since(begin)%(pauseTime+burstTime) > pauseTime {
			d = time.Duration(float64(d) / burstFactor)
		}
		time.Sleep(d)
	}
	attempts := f.clients.all()
	close(stop)
	<-watched
	served, ran := 0, 0
	for _, a := range attempts {
		if a.status == 200 {
			served++
		}
	}
	for _, b := range orders {
		ran += len(b.allRuns())
	}
	machines := 0
	for _, n := range kills {
		if n >= 3 {
			machines++
		}
	}
	return verdict{broken: machines >= 2, summary: fmt.Sprintf(
		"%d orders sent, %d ran, %d answered; processes killed for their memory: %v", len(attempts), ran, served, kills)}, nil
}

// memoryKB returns the resident memory of the process.
func (n *node) memoryKB() int {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	text, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}
