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
	"hornbeamcroft/subscriber"
)

const (
	// routesCheck is the time in which, among all nodes, one looks for a configuration that its watch has missed. It is
	// noticed at the end of a watch and told to the others, with room in the 2 s for a few nodes that cannot look.
	routesCheck = 400 * time.Millisecond
	// recordsPoll is the least time between two lists of the records. A record introduces a node to the others and is
	// listed again soon after the store returns; recordsPollNode for each node keeps the bytes of the lists bounded.
	recordsPoll     = 2500 * time.Millisecond
	recordsPollNode = 12 * time.Millisecond
	// minWatch is the least time of a watch, and maxPeriod the greatest time between two; the store holds none for more
	// than 30 s.
	minWatch  = 500 * time.Millisecond
	maxPeriod = 28 * time.Second
)

// follow keeps the configuration and the records of the nodes in step with the store.
func (a *Agent) follow(ctx context.Context) {
	records := &poller.Poller{
		Store: a.store, Prefix: keyPrefix, Interval: a.recordsInterval, Rand: randomizer.Randomizer{},
		OnList: a.onRecords, OnLost: a.onStoreLost("members"), OnFound: a.onStoreFound("members"),
	}
	go records.Run(ctx)
	routes := &subscriber.Subscriber{
		Store: a.store, Prefix: platform.KeyRoutes, Rand: randomizer.Randomizer{},
		OnList: a.onRoutesList, OnEvent: a.onRoutesEvent,
		OnLost: a.onStoreLost("routes"), OnFound: a.onStoreFound("routes"), OnCut: a.onWatchCut("routes"),
	}
	routes.Run(ctx)
}

// routesWatch returns how long the next watch of the configuration is held. A watch goes deaf when the store drops its
// history, and all watches start together after a change. Each node ends its watch at a turn of its own, so that among all
// nodes one starts anew each routesCheck, and tells the others what it finds.
func (a *Agent) routesWatch() time.Duration {
	rank, n := a.rank()
	return untilTurn(time.Duration(time.Now().UnixNano()), routesPeriod(n), minWatch, rank, n)
}

// routesPeriod returns the time between two turns of a node.
func routesPeriod(n int) time.Duration { return min(time.Duration(n)*routesCheck, maxPeriod) }

// rank returns the place of this node among the known ones by name, and their number.
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

// recordsInterval returns the mean time between two lists of the records.
func (a *Agent) recordsInterval() time.Duration {
	_, n := a.rank()
	return max(time.Duration(n)*recordsPollNode, recordsPoll)
}

// onStoreLost logs the loss of the store by one of its users.
func (a *Agent) onStoreLost(user string) func(error) {
	return func(err error) {
		if user == "members" {
			a.storeAway.Store(true)
		}
		a.Log.Warn().Str("user", user).Err(err).Msg("store: lost")
	}
}

func (a *Agent) onStoreFound(user string) func() {
	return func() {
		if user == "members" {
			a.storeAway.Store(false)
		}
		a.Log.Info().Str("user", user).Msg("store: found again")
	}
}

// onWatchCut logs the end of a watch.
func (a *Agent) onWatchCut(user string) func(error) {
	return func(err error) {
		a.Log.Info().Str("user", user).Err(err).Msg("store: watch ended, keys are listed again")
	}
}
