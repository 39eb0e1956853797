package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"hornbeamcroft/platform"
	"hornbeamcroft/poller"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/subscriber"
)

const (
	// routesCheck is the time in which, among all nodes, one looks for a configuration that its watch has missed.
	routesCheck = 600 * time.Millisecond
	// recordsPoll is the least time between two lists of the records. A record introduces a node to the others and is
	// listed again soon after the store returns; recordsPollNode for each node keeps the bytes of the lists bounded.
	recordsPoll     = 2500 * time.Millisecond
	recordsPollNode = 12 * time.Millisecond
	// minWatch is the least time of a watch, and maxWatch the greatest mean; the store holds none for more than 30 s.
	minWatch = 500 * time.Millisecond
	maxWatch = 14 * time.Second
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
// history, and all watches start together after a change. The times are spread so widely that among all nodes one starts
// anew about each routesCheck, and tells the others what it finds.
func (a *Agent) routesWatch() time.Duration {
	return spread(min(a.nodes()*routesCheck, maxWatch))
}

// recordsInterval returns the mean time between two lists of the records.
func (a *Agent) recordsInterval() time.Duration { return max(a.nodes()*recordsPollNode, recordsPoll) }

// nodes returns the number of known nodes, as a factor.
func (a *Agent) nodes() time.Duration {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	return time.Duration(len(a.locator.Members()))
}

// spread returns a time between minWatch and twice the mean.
func spread(mean time.Duration) time.Duration {
	return minWatch + time.Duration(rand.Float64()*float64(2*mean))
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
