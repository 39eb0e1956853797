package soaker

import (
	"net/http"
	"strings"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/cmd/hornbeam-soak/proxier"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

// everywhereKinds are the kinds of steps, besides storeFaults, that are not limited to one host.
var everywhereKinds = []string{"store-compact", "store-restore", "kill-many", "kill-all", "refuse-all", judge.KindPoison}

// storeFaults are the faults of the store by kind of step.
var storeFaults = map[string]storeserver.Faults{
	"store-busy":   {Busy: true},
	"store-silent": {Silent: true},
	"store-reset":  {Reset: true},
	"store-slow":   {Delay: 300 * time.Millisecond},
	"store-lose":   {LoseWriteResponses: 0.5},
	"store-lapse":  {Silent: true, ExpireLeases: true},
	"store-stale":  {StaleLag: 3 * time.Second},
}

// workerFaults are the faults of an upstream by kind of step.
var workerFaults = map[string]worker.Faults{
	"slow":       {Slow: 10},
	"refuse":     {Refuse: 0.5},
	"refuse-all": {Refuse: 0.8},
	"lose":       {Lose: 0.3},
	"truncate":   {Truncate: 0.2},
	"corrupt":    {Corrupt: 0.25},
	// The status is drawn by setWorkerFaults.
	"fail-unproven": {Fail: 0.45},
}

// promisingStatuses are the statuses by which callers know that a request has not run.
var promisingStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// proxyModes are the modes of a proxy by kind of step. proxyOf selects the proxy.
var proxyModes = map[string]proxier.Mode{
	"store-cut":        {DropToTarget: true, DropFromTarget: true, Refuse: true},
	"store-one-way":    {DropFromTarget: true},
	"links-delayed":    {Delay: 40 * time.Millisecond},
	"links-silent":     {DropToTarget: true, DropFromTarget: true},
	"links-one-way":    {DropFromTarget: true},
	"upstream-delayed": {Delay: 40 * time.Millisecond},
	"upstream-silent":  {DropToTarget: true, DropFromTarget: true},
}

// setWorkerFaults sets the faults of the upstream on the step's host, or for "refuse-all" of all upstreams of its
// service.
func (s *Soaker) setWorkerFaults(p planner.Step, f worker.Faults) {
	if f.Fail > 0 {
		f.FailStatus = promisingStatuses[int(p.Length)%len(promisingStatuses)]
	}
	for i, h := range s.hosts {
		if i == p.Host || p.Kind == "refuse-all" && h.Worker.Service == s.hosts[p.Host].Worker.Service {
			h.Worker.SetFaults(f)
		}
	}
}

// proxyOf returns the host's proxy into which the kind of step injects its fault.
func proxyOf(h *hoster.Hoster, kind string) *proxier.Proxier {
	switch {
	case strings.HasPrefix(kind, "store-"):
		return h.StoreProxy
	case strings.HasPrefix(kind, "links-"):
		return h.LinkProxy
	}
	return h.UpstreamProxy
}

// injectMode sets the mode of a proxy for the given time. Afterwards it resets connections from which bytes may have
// been dropped, since their streams are corrupt.
func injectMode(p *proxier.Proxier, m proxier.Mode, length time.Duration) {
	p.SetMode(m)
	time.Sleep(length)
	p.SetMode(proxier.Mode{})
	if m.DropToTarget || m.DropFromTarget {
		p.Reset()
	}
}
