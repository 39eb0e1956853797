package agent

import "time"

// configurationAge returns the age of the proof that the configuration in force is the newest, or false if there is none.
func (*Agent) configurationAge() (age time.Duration, proven bool) { return 0, true }
