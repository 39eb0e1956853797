package observer

// maxServedInstances is the maximum number of instances of which the observer knows that earlier processes of this node have used them.
const maxServedInstances = 64

// ApplyServed applies that an earlier process of this node has used a start of the instance as an upstream of Service, as a record of that
// process says. The time born is zero if the record does not name it. It reports whether that was not known: a health answer may count now.
func (o *Observer) ApplyServed(instance string, born int64) bool {
	last, known := o.served[instance]
	if !known && (!ValidInstance(instance) || len(o.served) >= maxServedInstances) {
		return false
	}
	if o.served == nil {
		o.served = make(map[string]int64)
	}
	o.served[instance] = max(last, born)
	return !known || born > last
}

// Served reports whether an earlier process of this node has used the instance.
func (o *Observer) Served(instance string) bool {
	_, ok := o.served[instance]
	return ok
}

// ServedAny reports whether an earlier process of this node has used any instance.
func (o *Observer) ServedAny() bool { return len(o.served) > 0 }

// servedAfter reports whether an earlier process has used a start of the instance that began after the time born.
func (o *Observer) servedAfter(instance string, born int64) bool { return o.served[instance] > born }
