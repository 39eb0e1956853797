package fleet

import "time"

// Scale divides the numbers of slots and connections that docs/design.md, section 1, gives for its deployments. Together with
// long service times, this makes a few hundred calls per second enough to overload a deployment on one machine.
const Scale = 10

// scaled returns n divided by Scale and rounded, but at least 2.
func scaled(n int) int { return max(2, (n+Scale/2)/Scale) }

// Timeouts of request types. The fault of a measurement has to last at least three times as long, because queues hide the effect
// of a shorter one.
const (
	lookupTimeout = 600 * time.Millisecond
	orderTimeout  = time.Second
)

// lookupType returns an idempotent request type of low importance with the service time d.
func lookupType(name string, d time.Duration, calls ...string) Type {
	return Type{Name: name, Importance: "low", Idempotent: true, Timeout: lookupTimeout, ServiceTime: d, Calls: calls}
}

// orderType returns a non-idempotent request type of high importance with the service time d.
func orderType(name string, d time.Duration, calls ...string) Type {
	return Type{Name: name, Importance: "high", Timeout: orderTimeout, ServiceTime: d, Calls: calls}
}

// Demo returns a chain of four services with two upstreams each.
func Demo() Deployment {
	service := func(name string, types []Type, calls ...string) Service {
		return Service{Name: name, Count: 2, Slots: 16, Connections: 64, Types: types, Calls: calls}
	}
	return Deployment{
		Name: "demo", Zones: []string{"quimper", "vannes"}, ZoneDelay: 500 * time.Microsecond, Policy: PolicyFull, Tries: 1, Seed: 1,
		Services: []Service{
			service("sizing", []Type{
				lookupType("size", 10*time.Millisecond, "stock/level"), orderType("order", 10*time.Millisecond, "stock/reserve"),
			}, "stock"),
			service("stock", []Type{
				lookupType("level", 10*time.Millisecond), orderType("reserve", 10*time.Millisecond, "order-desk/place"),
			}, "order-desk"),
			service("order-desk", []Type{orderType("place", 10*time.Millisecond, "cash-office/deposit")}, "cash-office"),
			service("cash-office", []Type{orderType("deposit", 20*time.Millisecond)}),
		},
	}
}

// Regie returns the deployment of the Régie in docs/design.md, section 1, with its slots and connections divided by Scale: four
// services with four upstreams each, in four zones. An order is passed on by child calls from the pattern desk to the felt stock, the order
// desk and the cash office. The cash office has the fewest slots and is the bottleneck.
func Regie() Deployment {
	service := func(name string, types []Type, calls ...string) Service {
		return Service{Name: name, Count: 4, Slots: scaled(170), Connections: scaled(1100), Types: types, Calls: calls}
	}
	cash := service("cash-office", []Type{orderType("deposit", 50*time.Millisecond)})
	cash.Slots, cash.Connections = scaled(15), scaled(190)
	return Deployment{
		Name: "regie", Zones: []string{"quimper", "vannes", "lannion", "brest"}, ZoneDelay: 500 * time.Microsecond, Tries: 2,
		Services: []Service{
			service("pattern-desk", []Type{
				lookupType("size", 100*time.Millisecond, "felt-stock/level"), orderType("order", 30*time.Millisecond, "felt-stock/reserve"),
			}, "felt-stock"),
			service("felt-stock", []Type{
				lookupType("level", 50*time.Millisecond), orderType("reserve", 30*time.Millisecond, "order-desk/place"),
			}, "order-desk"),
			service("order-desk", []Type{orderType("place", 30*time.Millisecond, "cash-office/deposit")}, "cash-office"),
			cash,
		},
	}
}

// Omuramba returns the deployment of Omuramba in docs/design.md, section 1, with its slots and connections divided by Scale: four
// services in three zones, balances with four upstreams and the others with three each. An advance is passed on by child calls from balances to disbursement, pledges
// and repayments. Repayments has the fewest slots and is the bottleneck.
func Omuramba() Deployment {
	service := func(name string, count, slots, connections int, types []Type, calls ...string) Service {
		return Service{
			Name: name, Count: count, Slots: scaled(slots), Connections: scaled(connections), Types: types, Calls: calls,
		}
	}
	return Deployment{
		Name: "omuramba", Zones: []string{"khomas-1", "khomas-2", "khomas-3"}, ZoneDelay: 1500 * time.Microsecond, Tries: 2,
		Services: []Service{
			service("balances", 4, 110, 770, []Type{
				lookupType("check", 60*time.Millisecond, "pledges/owed"), orderType("advance", 30*time.Millisecond, "disbursement/pay"),
			}, "pledges", "disbursement"),
			service("disbursement", 3, 150, 1000, []Type{orderType("pay", 30*time.Millisecond, "pledges/release")}, "pledges"),
			service("pledges", 3, 150, 1000, []Type{
				lookupType("owed", 50*time.Millisecond), orderType("release", 30*time.Millisecond, "repayments/post"),
			}, "repayments"),
			service("repayments", 3, 25, 250, []Type{orderType("post", 50*time.Millisecond)}),
		},
	}
}
