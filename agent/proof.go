package agent

import "time"

// configurationAge returns the age of the latest proof that the configuration in force is the newest one, or false if there is no
// proof.
func (a *Agent) configurationAge() (age time.Duration, proven bool) { return 0, true }
