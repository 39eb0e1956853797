package observer

import "hornbeamcroft"

// ApplyStatement applies what an instance stated about itself in an answer, and reports whether that changed the state. The
// time born is that of the start to which the request was sent; zero if it was not known.
func (o *Observer) ApplyStatement(instance string, born int64, s hornbeamcroft.Statement) bool {
	if instance != o.upstream.Instance || born != 0 && born != o.upstream.Born || s == o.upstream.Statement {
		return false
	}
	o.upstream.Statement = s
	return true
}
