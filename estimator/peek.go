package estimator

import "time"

// Peek returns what Age and then SpareTime would return, without recording the attempt. left is the time left until the objective of
// the route at the first attempt.
func (e *Estimator) Peek(now time.Duration, name string, deadline, left time.Duration) (age, spare time.Duration) {
	var r route
	if known := e.routes[name]; known != nil {
		r = *known
	}
	seen := Estimator{routes: map[string]*route{name: &r}}
	age = seen.Age(now, name, deadline)
	return age, seen.SpareTime(name, left-age)
}
