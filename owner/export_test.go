package owner

// Rules maps the name of each rule of the protocol to a function that switches it off. Tests switch off one rule at a
// time to show that each is needed.
var Rules = map[string]func(*Owner){
	"no-wait":             func(o *Owner) { o.mutation.noWait = true },
	"ack-before-write":    func(o *Owner) { o.mutation.ackBeforeWrite = true },
	"recover-by-waiting":  func(o *Owner) { o.mutation.recoverByWaiting = true },
	"half-permit":         func(o *Owner) { o.mutation.halfPermit = true },
	"ack-of-any-restart":  func(o *Owner) { o.mutation.ackOfAnyRestart = true },
	"settle-without-acks": func(o *Owner) { o.mutation.settleWithoutAcks = true },
	"serve-unsettled":     func(o *Owner) { o.mutation.serveUnsettled = true },
	"ignore-relay-age":    func(o *Owner) { o.mutation.ignoreRelayAge = true },
}
