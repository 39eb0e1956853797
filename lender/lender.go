// Package lender lends the permits of tenants' quotas at the home of each tenant.
package lender

import (
	"maps"
	"math"
	"slices"
	"time"

	"hornbeamcroft"
)

const (
	// tolerancePart is the part of the tolerance that is lent. The rest is for requests that wait between their permit and their run.
	tolerancePart = 0.5
	// maxBorrowers is the maximum number of borrowers of a tenant.
	maxBorrowers = 1024
	// releaseTime is the time within which a home that no longer lends a tenant can hand it over, and claimTime the age of a claim from
	// which on its answer is not used: a node that was frozen may read it from its socket late. claimTime is below replaceTime, after
	// which the previous home could lend again.
	releaseTime = 2 * time.Second
	claimTime   = 500 * time.Millisecond
	// unknownRetry is when to ask again for a tenant whose home is not here.
	unknownRetry = 100 * time.Millisecond
)

// Lender holds a token bucket for each tenant whose home is this node. Lent permits count as in the bucket until their use is
// reported or they end, so that in any window no more are used than the bucket holds plus its refill. Set the exported fields before
// the first use. It is not safe for concurrent use.
type Lender struct {
	// Window, Over and Slack state the bound: in a Window, a tenant may run (Rate × Window + Burst) × (1 + Over) + Slack requests.
	Window      time.Duration
	Over, Slack float64
	// ApplyTime is the time within which a changed configuration takes effect on all nodes. A lowered quota binds one Window later.
	ApplyTime time.Duration

	buckets map[string]*bucket
	// released holds what is left of tenants that were lent here until shortly before.
	released map[string]release
	// provenAt is the time at which the configuration was last known to be the newest; it is valid if proven is set.
	provenAt time.Duration
	proven   bool
	tenure   tenure
	counts   Counts
}

// release is a tenant that this node no longer lends.
type release struct {
	hornbeamcroft.PermitHandover
	at time.Duration
}

// Counts are numbers since the start for the metrics.
type Counts struct {
	// Asked counts demands, Lent permits that were lent, Short demands that were not met in full, Undecided demands for tenants that
	// are not lent here at that time, and Taken the tenants that an earlier home handed over.
	Asked, Lent, Short, Undecided, Taken int64
}

// Counts returns the counts, and the number of tenants whose home is here.
func (l *Lender) Counts() (c Counts, tenants int) { return l.counts, len(l.buckets) }

// Lent returns the number of permits that count as lent.
func (l *Lender) Lent() uint64 {
	n := 0.0
	for _, b := range l.buckets {
		n += b.lent()
	}
	return uint64(n)
}

// SetProof states the age of the proof of the configuration.
func (l *Lender) SetProof(now, age time.Duration, proven bool) {
	if proven {
		l.provenAt, l.proven = now-max(age, 0), true
	}
}

// hasProof reports whether the last proof of the configuration is recent enough: a quota that was lowered after it does not bind yet, nor
// will it before the permits that are lent now have ended.
func (l *Lender) hasProof(now time.Duration) bool {
	return l.proven && now-l.provenAt < max(minProofAge, l.ApplyTime+l.Window-hornbeamcroft.MaxPermitLife)
}

// SetTenants states the tenants whose home is this node. It lends nothing of others from then on; Release hands them over.
func (l *Lender) SetTenants(now time.Duration, tenants []hornbeamcroft.Tenant) {
	if l.buckets == nil {
		l.buckets, l.released = make(map[string]*bucket), make(map[string]release)
	}
	maps.DeleteFunc(l.released, func(_ string, r release) bool { return now-r.at >= releaseTime })
	present := make(map[string]bool, len(tenants))
	for _, t := range tenants {
		if t.Quota.Rate <= 0 {
			continue
		}
		present[t.Name] = true
		b := l.buckets[t.Name]
		if b == nil {
			b = &bucket{}
			b.reset(now)
			l.buckets[t.Name] = b
		}
		b.refill(now)
		l.setQuota(now, b, t.Quota)
		delete(l.released, t.Name)
	}
	for name, b := range l.buckets {
		if present[name] {
			continue
		}
		if l.startIfReady(now, b) {
			b.refill(now)
			l.released[name] = release{hornbeamcroft.PermitHandover{Tenant: name, Available: b.tokens, Lent: uint64(b.lent())}, now}
		}
		delete(l.buckets, name)
	}
}

// Release hands over a tenant to its new home, once. It returns false if this node has not lent permits of the tenant until shortly
// before, or still does.
func (l *Lender) Release(now time.Duration, tenant string) (hornbeamcroft.PermitHandover, bool) {
	r, ok := l.released[tenant]
	delete(l.released, tenant)
	return r.PermitHandover, ok && now-r.at < releaseTime
}

// capacity returns the number of permits that may be lent at one moment: the burst and a part of the tolerance.
func (l *Lender) capacity(q hornbeamcroft.Quota) float64 {
	tolerance := l.Over*(q.Rate*l.Window.Seconds()+q.Burst) + l.Slack
	return max(1, q.Burst+tolerancePart*tolerance)
}

// SetNext records the node that is next in line for the tenant, and forgets those that were and are no members any more. All that were next
// in line since settling began must know this home: one of them may have been home before and, without contact with the store, still lend.
func (l *Lender) SetNext(now time.Duration, tenant, next string, isMember func(name string) bool) {
	b := l.buckets[tenant]
	if b == nil {
		return
	}
	started := l.startIfReady(now, b)
	b.next = slices.DeleteFunc(b.next, func(name string) bool { return started || !isMember(name) })
	if next == "" || slices.Contains(b.next, next) {
		return
	}
	b.next = append(b.next, next)
	if !started {
		b.acknowledged = false
	}
}

// Next returns the nodes that must know this home before it may lend without the wait of unseenTime.
func (l *Lender) Next(tenant string) []string {
	if b := l.buckets[tenant]; b != nil {
		return b.next
	}
	return nil
}

// Acknowledge records that the nodes next in line for the tenant know this home, so that they do not lend themselves from now on.
func (l *Lender) Acknowledge(now time.Duration, tenant string) {
	if b := l.buckets[tenant]; b != nil && !b.acknowledged {
		b.acknowledged, b.acknowledgedAt = true, now
	}
}

// Unsettled returns the tenants that are not lent yet, or whose next node in line has not acknowledged this home.
func (l *Lender) Unsettled(now time.Duration) []string {
	var names []string
	for name, b := range l.buckets {
		if !b.acknowledged || !l.startIfReady(now, b) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TakeOver starts lending of a tenant at once, because its previous home has stopped. The claim that it answers was made at the time
// asked. A bucket that lends already ignores it.
func (l *Lender) TakeOver(now, asked time.Duration, from string, h hornbeamcroft.PermitHandover) {
	b := l.buckets[h.Tenant]
	if b == nil || b.started || now-asked >= claimTime {
		return
	}
	b.started, b.updatedAt = true, now
	b.acknowledged, b.acknowledgedAt = true, now
	// What the previous home lent may still be used.
	o := b.loan("handover/"+from, 0)
	o.limit, o.expires, o.seen = min(h.Lent, math.MaxInt32), now+hornbeamcroft.MaxPermitLife, now
	b.tokens = h.Available
	b.clamp()
	l.counts.Taken++
}

// Request answers a request. The borrower is identified by its name and the start of its process. Demands older than the last one
// of the same borrower are not answered, because they are duplicates or were overtaken.
func (l *Lender) Request(now time.Duration, borrower string, r hornbeamcroft.PermitRequest) hornbeamcroft.PermitGrant {
	g := hornbeamcroft.PermitGrant{Asked: r.Asked}
	for _, d := range r.Demands {
		if p, answer := l.lend(now, borrower, r.Asked, d); answer {
			g.Permits = append(g.Permits, p)
		}
	}
	return g
}

func (l *Lender) lend(now time.Duration, borrower string, asked time.Duration, d hornbeamcroft.PermitDemand) (hornbeamcroft.Permits, bool) {
	l.counts.Asked++
	undecided := hornbeamcroft.Permits{Tenant: d.Tenant, Undecided: true, Retry: unknownRetry}
	b := l.buckets[d.Tenant]
	if b == nil {
		l.counts.Undecided++
		return undecided, true
	}
	if !l.startIfReady(now, b) {
		l.counts.Undecided++
		if !b.started {
			undecided.Retry = max(unknownRetry, l.tenure.readyAt(b)-now)
		}
		return undecided, true
	}
	b.refill(now)
	o := b.loan(borrower, d.Used)
	if o == nil {
		l.counts.Undecided++
		return undecided, true
	}
	if asked <= o.asked {
		return undecided, false
	}
	b.report(o, d)
	o.asked, o.seen, o.want, o.rate = asked, now, d.Want, d.Rate
	return l.grant(now, b, o, d), true
}

// grant lends what is available of the wanted permits.
func (l *Lender) grant(now time.Duration, b *bucket, o *loan, d hornbeamcroft.PermitDemand) hornbeamcroft.Permits {
	p := hornbeamcroft.Permits{Tenant: d.Tenant, Life: b.permitLife(now)}
	missing := float64(d.Want) - float64(o.limit-o.used)
	if missing > 0 {
		add := math.Floor(min(missing, b.tokens, b.allowed(now, o)))
		if add > 0 {
			b.tokens -= add
			o.limit += uint64(add)
			b.countGrant(now, o, add)
			l.counts.Lent += int64(add)
		}
		if add < missing {
			l.counts.Short++
			p.Retry, p.Share = b.retry(o, missing-add)
		}
	}
	o.expires = now + p.Life
	p.Limit = o.limit
	return p
}
