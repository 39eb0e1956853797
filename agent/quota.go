package agent

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/borrower"
	"hornbeamcroft/framer"
	"hornbeamcroft/lender"
)

const (
	// quotaTick is the interval at which requests that wait for permits are decided and renewals are sent. It is well below the 150 ms
	// within which a request is decided.
	quotaTick = 10 * time.Millisecond
	// settleTicks is the number of ticks between two looks at the proof of the configuration, and between two claims of tenants whose
	// home this node has become.
	settleTicks = 10
)

// quotas holds what the node lends and borrows of the tenants' quotas.
type quotas struct {
	// active is true if the configuration has tenants with a rate. Nothing is locked or sent otherwise.
	active atomic.Bool
	// wake receives a value when active becomes true.
	wake chan struct{}

	mu       sync.Mutex
	lender   lender.Lender
	borrower borrower.Borrower
	// tenants are those with a rate, and homes their homes by name. members are the eligible members that the homes were chosen from.
	tenants []hornbeamcroft.Tenant
	homes   map[string]quotaHome
	members []hornbeamcroft.Member
	// listed is true while the store has a record of this node, as known from listedRevision.
	listed         bool
	listedRevision int64
	// ownRead is set when a list of members has been read that holds this node, and with it those that were members before.
	ownRead atomic.Bool
	// wakeList makes the poller list the members at once, and woke is when it was last used.
	wakeList chan struct{}
	woke     time.Duration
	// recorded and pause are the last results of Lender.HasRecord and Lender.Pause. Only runQuotas and tests use them.
	recorded bool
	pause    lender.Pause
	// waits holds the requests that wait for a permit.
	waits map[uint64]chan borrower.Decision
}

// quotaHome names the home of a tenant, the member next in line, and the last other home.
type quotaHome struct{ home, next, previous string }

func (a *Agent) newQuotas() *quotas {
	q := &quotas{
		wake: make(chan struct{}, 1), wakeList: make(chan struct{}, 1), waits: make(map[uint64]chan borrower.Decision),
		lender: lender.Lender{
			Window: a.Bounds.QuotaWindow, Over: a.Bounds.QuotaOver, Slack: a.Bounds.QuotaSlack, ApplyTime: a.Bounds.ConfigApplyTime,
		},
	}
	q.borrower.Home = func(tenant string) string { return q.homes[tenant].home }
	return q
}

// takePermit takes a permit of the tenant's quota for one request of a caller. It returns code 0 and the decision with the permit if the
// request may run, and otherwise the code of the rejection and the decision with the time until it is useful to try again.
func (a *Agent) takePermit(ctx context.Context, tenant string) (hornbeamcroft.Code, borrower.Decision) {
	q := a.quotas
	if tenant == "" || !q.active.Load() {
		return 0, borrower.Decision{}
	}
	q.mu.Lock()
	now := a.quotaNow() // a process that is frozen until it has the lock must not use permits that have ended
	d := q.borrower.Take(now, tenant)
	if d.Verdict != borrower.Waiting {
		q.mu.Unlock()
		return a.quotaCode(tenant, d), d
	}
	decided := make(chan borrower.Decision, 1)
	q.waits[d.ID] = decided
	out := q.exchange(now, a.Settings.Agent.Name, a.quotaBorrower())
	q.mu.Unlock()
	a.sendPermitRequests(out)
	select {
	case d = <-decided:
	case <-ctx.Done():
		a.stopWait(tenant, d.ID, decided)
		d = borrower.Decision{Verdict: borrower.Undecided}
	}
	a.metrics.latency("quotas/wait-us", a.quotaNow()-now)
	return a.quotaCode(tenant, d), d
}

// stopWait ends the wait of a request whose caller has gone. A permit that came meanwhile is given back.
func (a *Agent) stopWait(tenant string, id uint64, decided <-chan borrower.Decision) {
	q := a.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Cancel(tenant, id)
	delete(q.waits, id)
	select {
	case d := <-decided:
		q.decide(q.borrower.GiveBack(a.quotaNow(), tenant, d.PermitEpoch))
	default:
	}
}

// giveBackPermit makes the permit of a request that did not run available to others of the tenant.
func (a *Agent) giveBackPermit(tenant string, d borrower.Decision) {
	q := a.quotas
	if d.PermitEpoch == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decide(q.borrower.GiveBack(a.quotaNow(), tenant, d.PermitEpoch))
}

// quotaCode returns the code for a decision, and counts a rejection.
func (a *Agent) quotaCode(tenant string, d borrower.Decision) hornbeamcroft.Code {
	code := hornbeamcroft.CodeQuotaUndecided
	switch d.Verdict {
	case borrower.Admitted:
		return 0
	case borrower.Exceeded:
		code = hornbeamcroft.CodeQuotaExceeded
	}
	a.metrics.count("quotas/rejected/" + tenant + "/" + strconv.Itoa(int(code)))
	return code
}

// quotaBorrower identifies this process to the homes of tenants.
func (a *Agent) quotaBorrower() string {
	return quotaBorrowerName(a.Settings.Agent.Name, a.incarnation)
}

func quotaBorrowerName(name string, incarnation uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 10)
}

// exchange returns the requests that are due to other nodes, and answers those to this node itself. The lock is held.
func (q *quotas) exchange(now time.Duration, name, self string) []borrower.Message {
	var out []borrower.Message
	for {
		own := false
		for _, m := range q.borrower.Due(now) {
			if m.Home != name {
				out = append(out, m)
				continue
			}
			own = true
			q.decide(q.borrower.Receive(now, name, q.lender.Request(now, self, m.Request)))
		}
		if !own {
			return out
		}
	}
}

// decide passes decisions on to the requests that wait for them. The lock is held.
func (q *quotas) decide(decisions []borrower.Decision) {
	for _, d := range decisions {
		if decided, ok := q.waits[d.ID]; ok {
			delete(q.waits, d.ID)
			decided <- d
		}
	}
}

// runQuotas does the periodic work for quotas until ctx ends. Without quotas it sleeps.
func (a *Agent) runQuotas(ctx context.Context) {
	t := time.NewTicker(quotaTick)
	defer t.Stop()
	for n := 0; ; n++ {
		if !a.quotas.active.Load() {
			t.Stop()
			select {
			case <-ctx.Done():
				return
			case <-a.quotas.wake:
			}
			t.Reset(quotaTick)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n%settleTicks == 0 {
			a.updateQuotaProof()
			a.followTenure()
			a.settleQuotas()
		}
		a.tickQuotas()
	}
}

// tickQuotas decides the requests that have waited too long and sends the requests for permits that are due.
func (a *Agent) tickQuotas() {
	q := a.quotas
	q.mu.Lock()
	now := a.quotaNow()
	q.decide(q.borrower.Tick(now))
	out := q.exchange(now, a.Settings.Agent.Name, a.quotaBorrower())
	q.mu.Unlock()
	a.sendPermitRequests(out)
}

// updateQuotaProof tells the lender the age of the proof of the configuration.
func (a *Agent) updateQuotaProof() {
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	now := a.quotaNow() // before the age is read: the proof must not seem younger if the process is frozen in between
	age, proven := a.configurationAge()
	a.quotas.lender.SetProof(now, age, proven)
}

// dialName opens a link to a member in the background.
func (a *Agent) dialName(name string) {
	a.membersMu.Lock()
	m, known := a.locator.Member(name)
	a.membersMu.Unlock()
	if known {
		a.dial(m)
	}
}

// sendPermitRequests sends requests to the homes of tenants. A home without a link is dialed; its request is due again when the link is
// open.
func (a *Agent) sendPermitRequests(out []borrower.Message) {
	for _, m := range out {
		if l := a.links.LinkTo(m.Home); l != nil {
			go a.send(l, framer.TypeQuotaRequest, m.Request)
			continue
		}
		a.metrics.count("quotas/home-not-linked")
		a.dialName(m.Home)
	}
}
