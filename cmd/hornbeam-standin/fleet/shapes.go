package fleet

import "time"

// Scale divides the slots and connections of the deployments of the design page's section 1, and service times are
// long, so that overload needs few calls per second on one machine.
const Scale = 10

func scaled(n int) int { return max(2, (n+Scale/2)/Scale) }

// Timeouts of request types. A fault of a measurement lasts at least three times as long, since a shorter one is hidden
// by queues.
const (
	lookupTimeout = 600 * time.Millisecond
	orderTimeout  = time.Second
)

func lookup(name string, d time.Duration, calls ...string) Type {
	return Type{Name: name, Importance: "low", Idempotent: true, Timeout: lookupTimeout, ServiceTime: d, Calls: calls}
}

func once(name string, d time.Duration, calls ...string) Type {
	return Type{Name: name, Importance: "high", Timeout: orderTimeout, ServiceTime: d, Calls: calls}
}

// Demo is a chain of four services with two instances each.
func Demo() Deployment {
	service := func(name string, types []Type, calls ...string) Service {
		return Service{Name: name, Count: 2, Slots: 16, Connections: 64, Types: types, Calls: calls}
	}
	return Deployment{
		Name: "demo", Zones: []string{"quimper", "vannes"}, ZoneDelay: 500 * time.Microsecond, Policy: PolicyFull, Tries: 1, Seed: 1,
		Services: []Service{
			service("sizing", []Type{
				lookup("size", 10*time.Millisecond, "stock/level"), once("order", 10*time.Millisecond, "stock/reserve"),
			}, "stock"),
			service("stock", []Type{
				lookup("level", 10*time.Millisecond), once("reserve", 10*time.Millisecond, "order-desk/place"),
			}, "order-desk"),
			service("order-desk", []Type{once("place", 10*time.Millisecond, "cash-office/deposit")}, "cash-office"),
			service("cash-office", []Type{once("deposit", 20*time.Millisecond)}),
		},
	}
}

// Regie is the shape of the Régie's deployment: an order goes through sizing, stock and the order desk to the cash
// office.
func Regie() Deployment {
	service := func(name string, types []Type, calls ...string) Service {
		return Service{Name: name, Count: 4, Slots: scaled(170), Connections: scaled(1100), Types: types, Calls: calls}
	}
	cash := service("cash-office", []Type{once("deposit", 50*time.Millisecond)})
	cash.Slots, cash.Connections = scaled(15), scaled(190)
	return Deployment{
		Name: "regie", Zones: []string{"quimper", "vannes", "lannion", "brest"}, ZoneDelay: 500 * time.Microsecond, Tries: 2,
		Services: []Service{
			service("pattern-desk", []Type{
				lookup("size", 100*time.Millisecond, "felt-stock/level"), once("order", 30*time.Millisecond, "felt-stock/reserve"),
			}, "felt-stock"),
			service("felt-stock", []Type{
				lookup("level", 50*time.Millisecond), once("reserve", 30*time.Millisecond, "order-desk/place"),
			}, "order-desk"),
			service("order-desk", []Type{once("place", 30*time.Millisecond, "cash-office/deposit")}, "cash-office"),
			cash,
		},
	}
}

// Omuramba is the shape of Omuramba's deployment: an advance goes through balances, disbursement and pledges to
// repayments.
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
				lookup("check", 60*time.Millisecond, "pledges/owed"), once("advance", 30*time.Millisecond, "disbursement/pay"),
			}, "pledges", "disbursement"),
			service("disbursement", 3, 150, 1000, []Type{once("pay", 30*time.Millisecond, "pledges/release")}, "pledges"),
			service("pledges", 3, 150, 1000, []Type{
				lookup("owed", 50*time.Millisecond), once("release", 30*time.Millisecond, "repayments/post"),
			}, "repayments"),
			service("repayments", 3, 25, 250, []Type{once("post", 50*time.Millisecond)}),
		},
	}
}
