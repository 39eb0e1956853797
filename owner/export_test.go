package owner

// Rules names the rules that tests switch off, one at a time, to show that each is needed.
var Rules = map[string]func(*Owner){
	"no-wait":             func(o *Owner) { o.relax.noWait = true },
	"ack-before-write":    func(o *Owner) { o.relax.ackBeforeWrite = true },
	"recover-by-waiting":  func(o *Owner) { o.relax.recoverByWaiting = true },
	"half-permit":         func(o *Owner) { o.relax.halfPermit = true },
	"ack-of-any-restart":  func(o *Owner) { o.relax.ackOfAnyRestarted = true },
	"settle-without-acks": func(o *Owner) { o.relax.settleAnyCount = true },
	"serve-unsettled":     func(o *Owner) { o.relax.openMoved = true },
	"ignore-relay-age":    func(o *Owner) { o.relax.clockedRelay = true },
}
