package scheduler

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/throttler"
)

// event is the end of a call in the model, or the next arrival if upstream is negative.
type event struct {
	at       time.Duration
	upstream int
	id       uint64
	begun    time.Duration
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	upstreams    = 5
	modelSlots   = 40
	modelWork    = 60 * time.Millisecond
	otherTenants = 86
	// otherRate is the number of requests a second of all other tenants, which takes 0.7 of the capacity. The hot tenant sends
	// hotRate, many times what its weight of 5 stands for.
	otherRate = 0.7 * upstreams * modelSlots / 0.06
	hotRate   = 0.9 * upstreams * modelSlots / 0.06
	modelTime = 20 * time.Second
	// warmUp is not counted.
	warmUp = 5 * time.Second
)

// result counts the requests of a tenant, or of all others.
type result struct{ sent, served, refusedAtIngress int }

// playHotTenant plays the arrivals of 86 tenants and a hot one at five upstreams. Without weights, capacity is not divided by tenant.
func playHotTenant(weights bool) (hot, others result) {
	rnd := rand.New(rand.NewPCG(7, 7))
	ingress := &throttler.Throttler{}
	schedulers := make([]*Scheduler, upstreams)
	for i := range schedulers {
		schedulers[i] = &Scheduler{Service: "deep", Slots: modelSlots}
	}
	owner := make(map[uint64]*result)
	queue := &events{{upstream: -1}}
	start := func(now time.Duration, upstream int, decisions []hornbeamcroft.Decision) {
		for _, d := range decisions {
			if d.Admitted {
				work := time.Duration((0.5 + rnd.Float64()) * float64(modelWork))
				heap.Push(queue, event{at: now + work, upstream: upstream, id: d.ID, begun: now})
			}
		}
	}
	for id := uint64(1); ; {
		e := heap.Pop(queue).(event)
		now := e.at
		if now >= modelTime {
			return hot, others
		}
		if e.upstream >= 0 {
			s := schedulers[e.upstream]
			start(now, e.upstream, s.Finish(now, e.id, hornbeamcroft.Sample{ServiceTime: now - e.begun}))
			load := s.Load(now)
			ingress.Observe(now, throttler.Source{Route: "r", Service: "deep", Host: strconv.Itoa(e.upstream)}, hornbeamcroft.Answer{
				Code: hornbeamcroft.CodeAnswered, Status: 200, Load: &load,
			})
			if r := owner[e.id]; r != nil {
				r.served++
			}
			delete(owner, e.id)
			continue
		}
		heap.Push(queue, event{at: now + time.Duration(rnd.ExpFloat64()/(otherRate+hotRate)*float64(time.Second)), upstream: -1})
		tenant, r := "hot", &hot
		if rnd.Float64() < otherRate/(otherRate+hotRate) {
			tenant, r = "t"+strconv.Itoa(rnd.IntN(otherTenants)), &others
		}
		if !weights {
			tenant = ""
		}
		if now < warmUp {
			r = &result{}
		}
		r.sent++
		v := ingress.Admit(now, rnd, throttler.Request{Route: "r", Service: "deep", Importance: hornbeamcroft.ImportanceNormal, Tenant: tenant})
		if !v.Admitted {
			r.refusedAtIngress++
			continue
		}
		id++
		owner[id] = r
		upstream := rnd.IntN(upstreams)
		start(now, upstream, schedulers[upstream].Arrive(now, hornbeamcroft.Ticket{
			ID: id, Importance: hornbeamcroft.ImportanceNormal, Depth: 1, Deadline: now + time.Second, Objective: now + 300*time.Millisecond,
			Weight: v.Weight, Tenant: tenant, TenantWeight: 5,
		}))
	}
}

// TestHotTenant guards against a tenant with many times its usual load that takes the capacity of 86 others, against one that is cut
// below what the others leave, and against work that is started for requests of it that are refused later.
func TestHotTenant(t *testing.T) {
	is := is.New(t)
	hotBefore, othersBefore := playHotTenant(false)
	hot, others := playHotTenant(true)
	share := func(r result) float64 { return float64(r.served) / float64(r.sent) }
	t.Logf("served without shares: hot %.3f, others %.3f; with shares: hot %.3f, others %.3f", share(hotBefore), share(othersBefore),
		share(hot), share(others))
	t.Logf("with shares, refused at the ingress: hot %.3f, others %.3f", float64(hot.refusedAtIngress)/float64(hot.sent),
		float64(others.refusedAtIngress)/float64(others.sent))
	is.True(share(othersBefore) < 0.8) // the load is one that takes the capacity of others
	is.True(share(others) >= 0.95)     // tenants below their share are served
	is.True(hot.served+others.served >= (hotBefore.served+othersBefore.served)*95/100)
	is.True(float64(hot.sent-hot.served-hot.refusedAtIngress) <= 0.1*float64(hot.sent))
}
