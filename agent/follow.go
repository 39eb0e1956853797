package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/platform"
	"hornbeamcroft/poller"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/recorder"
	"hornbeamcroft/subscriber"
)

const (
	// routesRestartInterval is the time between two restarts of a routes watch across all nodes. A restarted watch finds a
	// configuration that the previous one missed, and the node then announces it to the others. The interval is well below
	// the 2 s in which nodes must notice a change, so that a few nodes in a row may fail to reach the store.
	routesRestartInterval = 400 * time.Millisecond
	// minRecordsPoll is the minimum of the mean time between two lists of the node records. Nodes find each other by these
	// records, so a node must list them again soon after the store has become reachable again.
	minRecordsPoll = 2500 * time.Millisecond
	// The mean time between two lists is at least recordsPollPerNode times the number of known nodes, so that the bytes
	// listed per second stay bounded in large systems.
	recordsPollPerNode = 12 * time.Millisecond
	// minWatch is the minimum duration of a watch.
	minWatch = 500 * time.Millisecond
	// maxRoutesPeriod is the maximum time between two restarts of a node's watch. The store holds no watch for more than
	// 30 s.
	maxRoutesPeriod = 28 * time.Second
)

// followStore polls the node records and watches the configuration of routes in the store until ctx ends.
func (a *Agent) followStore(ctx context.Context) {
	lister := &timedLister{StaleLister: a.storeBreaker, clock: a.proof.clock}
	records := &poller.Poller{
		Store: lister, Prefix: keyPrefix, Interval: a.recordsInterval, Rand: randomizer.Randomizer{}, Wake: a.quotas.wakeList,
		OnList: func(entries []hornbeamcroft.Entry, revision int64) {
			a.onRecords(entries, revision)
			a.onQuotaList(lister.asked)
		},
		OnOlderList: a.onOlderList, OnStoreLost: a.onStoreLost("members"), OnStoreRecovered: a.onStoreRecovered("members"),
	}
	go records.Run(ctx)
	routes := &subscriber.Subscriber{
		Store: a.storeBreaker, Prefix: platform.KeyConfiguration, Rand: randomizer.Randomizer{},
		OnList: a.onRoutesList, OnEvent: a.onRoutesEvent,
		OnStoreLost: a.onStoreLost("routes"), OnStoreRecovered: a.onStoreRecovered("routes"), OnWatchEnded: a.onWatchEnded("routes"),
	}
	routes.Run(ctx)
}

// routesWatchHold returns how long the store should hold the next watch of the configuration. When the store drops its
// history, a watch stops reporting changes until it is restarted, and after a change all nodes start their watches
// together. Each node therefore ends its watch at a time slot of its own, so that one node restarts its watch every
// routesRestartInterval and announces what it finds to the others.
func (a *Agent) routesWatchHold() time.Duration {
	rank, n := a.rank()
	return untilTimeSlot(time.Duration(time.Now().UnixNano()), routesPeriod(n), minWatch, rank, n)
}

// routesPeriod returns the time between two time slots of one of n nodes.
func routesPeriod(n int) time.Duration {
	return min(time.Duration(n)*routesRestartInterval, maxRoutesPeriod)
}

// rank returns the index of this node among the known nodes ordered by name, and the number of known nodes, this one
// included.
func (a *Agent) rank() (rank, n int) {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	members := a.locator.Members()
	rank, listed := slices.BinarySearchFunc(members, a.Settings.Agent.Name, func(m hornbeamcroft.Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if listed {
		return rank, len(members)
	}
	return rank, len(members) + 1
}

// recordsInterval returns the mean time between two lists of the node records.
func (a *Agent) recordsInterval() time.Duration {
	_, n := a.rank()
	return max(time.Duration(n)*recordsPollPerNode, minRecordsPoll)
}

// onStoreLost returns the function to call when one of the store's users can no longer reach the store. Only the user
// "members" decides whether the store counts as unreachable.
func (a *Agent) onStoreLost(user string) func(error) {
	return func(err error) {
		if user == "members" {
			a.storeUnreachable.Store(true)
		}
		a.inquiry.mu.Lock()
		a.inquiry.storeLost = true
		a.inquiry.mu.Unlock()
		a.Log.Warn().Str("user", user).Err(err).Msg("store: lost")
	}
}

// onStoreRecovered returns the function to call when the user reaches the store again.
func (a *Agent) onStoreRecovered(user string) func() {
	return func() {
		if user == "members" {
			a.storeUnreachable.Store(false)
		}
		a.Log.Info().Str("user", user).Msg("store: found again")
	}
}

// onStoreEra logs that the store came back from an older copy of its content.
func (a *Agent) onStoreEra(before, after int64) {
	a.Log.Warn().Int64("era-before", before).Int64("era", after).Msg("store: restored from an older copy")
}

// onOlderList logs that a list of the node records was ignored because it is older than the one before.
func (a *Agent) onOlderList(revision, last int64) {
	a.metrics.count("store/older-lists")
	if a.recorder.Allow(recorder.Refused) {
		a.Log.Info().Int64("revision", revision).Int64("last", last).Int64("era", a.store.Era()).Msg("members: older list ignored")
	}
}

// onWatchEnded returns a function that logs why a watch ended.
func (a *Agent) onWatchEnded(user string) func(error) {
	return func(err error) {
		a.Log.Info().Str("user", user).Err(err).Msg("store: watch ended, keys are listed again")
	}
}
