package hornbeamcroft

// Placement states where a node would send a request of a caller now, with the inputs of each decision. It is the JSON answer to
// GET /place. Ages are those of the information that the node holds; null stands for information that it does not have.
type Placement struct {
	Node    string           `json:"node"`
	Zone    string           `json:"zone"`
	Request PlacementRequest `json:"request"`
	// Refused is the first decision that refuses the request; null if none does. Admission refuses a random part of the requests and
	// is never named.
	Refused *PlacementRefusal `json:"refused"`
	// Configuration is null while none is in force, Route if none matches, and Proof if requests need no API key. The others are null
	// without a readable route.
	Configuration *PlacementConfiguration `json:"configuration"`
	Route         *PlacementRoute         `json:"route"`
	Tenant        *PlacementTenant        `json:"tenant"`
	Proof         *PlacementProof         `json:"proof"`
	Time          *PlacementTime          `json:"time"`
	Stop          *PlacementStop          `json:"stop"`
	Quota         *PlacementQuota         `json:"quota"`
	Targets       []PlacementTarget       `json:"targets"`
}

// PlacementRequest is the request that was asked about.
type PlacementRequest struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Tenant string `json:"tenant"`
	// Importance replaces the importance of the route; empty if it does not.
	Importance string `json:"importance"`
	// RemainingMs is the time for which the caller waits; zero if it states none.
	RemainingMs int64 `json:"remaining-ms"`
}

// PlacementRefusal names the decision that refuses the request, and the code of the answer.
type PlacementRefusal struct {
	Decision string `json:"decision"`
	Code     Code   `json:"code"`
	Name     string `json:"name"`
	Reason   string `json:"reason"`
}

// PlacementConfiguration is the configuration in force.
type PlacementConfiguration struct {
	Version int64 `json:"version"`
	// Source is "store" or the name of the peer that sent the configuration.
	Source string `json:"source"`
	// AgeMs is the time since the configuration came into force.
	AgeMs int64 `json:"age-ms"`
}

// PlacementRoute is the route that matches. The fields after Prefix are not set if it is unreadable.
type PlacementRoute struct {
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Unreadable  bool   `json:"unreadable"`
	Name        string `json:"name"`
	Public      bool   `json:"public"`
	Idempotent  bool   `json:"idempotent"`
	MaxAttempts int    `json:"max-attempts"`
	Importance  string `json:"importance"`
	TimeoutMs   int64  `json:"timeout-ms"`
	ObjectiveMs int64  `json:"objective-ms"`
}

// PlacementTenant is the tenant of the request. Name is empty if it has none.
type PlacementTenant struct {
	// Required is true if the request needs an API key.
	Required bool   `json:"required"`
	Name     string `json:"name"`
	Band     int    `json:"band"`
	// Importance is the importance of the request in the band of the tenant.
	Importance string `json:"importance"`
}

// PlacementProof is the proof of how recently the configuration was the newest.
type PlacementProof struct {
	Proven bool `json:"proven"`
	// AgeMs is null if there is no proof.
	AgeMs *int64 `json:"age-ms"`
	// KeyAccepted is true if a request with a known key would be accepted, and UnknownKeyFinal if one with an unknown key would be
	// refused with 401 instead of 503.
	KeyAccepted     bool `json:"key-accepted"`
	UnknownKeyFinal bool `json:"unknown-key-final"`
}

// PlacementTime is the time that the request has.
type PlacementTime struct {
	RemainingMs int64 `json:"remaining-ms"`
	// WaitedMs is how long the caller has been waiting, as estimated from the longest time left of recent requests of the route.
	WaitedMs int64 `json:"waited-ms"`
	// ObjectiveMs is the time left until the objective of the route; it is negative if it has passed.
	ObjectiveMs int64 `json:"objective-ms"`
	// CallerRetry is true if the request counts as a retry of its caller, which is admitted more easily.
	CallerRetry bool `json:"caller-retry"`
}

// PlacementStop states whether a planned stop has begun, and whether the request would be taken.
type PlacementStop struct {
	Stopping bool `json:"stopping"`
	Taken    bool `json:"taken"`
}

// PlacementQuota is what the node holds of the tenant's quota.
type PlacementQuota struct {
	// Limited is false if the request needs no permit. The other fields are not set then.
	Limited bool    `json:"limited"`
	Rate    float64 `json:"rate-per-s"`
	Burst   float64 `json:"burst"`
	// Home is the node that lends the permits; empty if there is none.
	Home       string `json:"home"`
	HomeLinked bool   `json:"home-linked"`
	// Verdict is "admitted", "exceeded", "undecided", or "waiting" if the home would be asked first.
	Verdict string `json:"verdict"`
	// RetryAfterMs is when a refused caller would be told to come back.
	RetryAfterMs int64 `json:"retry-after-ms"`
	// Permits is the number at hand, and ExpireMs the time until they end.
	Permits  int64 `json:"permits"`
	ExpireMs int64 `json:"expire-ms"`
	// AnswerAgeMs is the time since the home last answered; null if it never has.
	AnswerAgeMs *int64 `json:"answer-age-ms"`
}

// PlacementTarget is a target service of the route.
type PlacementTarget struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
	// Share is the part of the route's requests that the service gets, and Next is true if it gets the next one.
	Share     float64            `json:"share"`
	Next      bool               `json:"next"`
	Admission PlacementAdmission `json:"admission"`
	// InUse is true if the node has sent calls to the service. Until then, it keeps no reports of the candidates.
	InUse bool `json:"in-use"`
	// Candidates are those that may get the request, the cheapest first, and then those that are left out.
	Candidates []PlacementCandidate `json:"candidates"`
}

// PlacementAdmission is the decision at the ingress on requests like this one for a target.
type PlacementAdmission struct {
	// Share is the part of such requests that is admitted, and Service the service that limits it most; empty if none does.
	Share    float64            `json:"share"`
	Service  string             `json:"service"`
	Services []PlacementReached `json:"services"`
}

// PlacementReached is the admission level of a service that the request reaches.
type PlacementReached struct {
	Service string `json:"service"`
	// Calls is the mean number of calls that requests of the route make to the service; zero for the target itself.
	Calls float64 `json:"calls"`
	// Importance and Threshold are the admission level: less important requests are refused, and Threshold of 65536 of this
	// importance are admitted.
	Importance string `json:"importance"`
	Threshold  uint32 `json:"threshold"`
	// LevelShare is the part of requests of the importance of this one that the level admits, and TenantShare that of the tenant
	// within its fair share.
	LevelShare  float64 `json:"level-share"`
	TenantShare float64 `json:"tenant-share"`
	// Limited are the tenants that demand more than their fair share.
	Limited []PlacementLimited `json:"limited"`
	// Hosts is the number of hosts with a report, and AgeMs the time since the newest information; null if there is none. A level
	// without recent information admits everything.
	Hosts int    `json:"hosts"`
	AgeMs *int64 `json:"age-ms"`
}

// PlacementLimited is a tenant that demands more than its fair share of a service.
type PlacementLimited struct {
	Tenant     string  `json:"tenant"`
	Importance string  `json:"importance"`
	Share      float64 `json:"share"`
}

// PlacementCandidate is a host of a target service.
type PlacementCandidate struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	State  string `json:"state"`
	Linked bool   `json:"linked"`
	// LeftOut is the reason why the host does not get the request; empty if it may.
	LeftOut string `json:"left-out"`
	// CostUs is the estimated time that the request loses at the host, with ZoneCostUs, the part for leaving the zone of the node.
	CostUs     int64 `json:"cost-us"`
	ZoneCostUs int64 `json:"zone-cost-us"`
	// Busy is the assumed number of calls that run or wait there, and Limit the number that may run at once.
	Busy  int `json:"busy"`
	Limit int `json:"limit"`
	// Outstanding is the number of calls of this node without an answer, and SentSinceReport that sent since the report.
	Outstanding     int `json:"outstanding"`
	SentSinceReport int `json:"sent-since-report"`
	// Report is the last load that the host reported; null if there is none.
	Report *PlacementReport `json:"report"`
}

// PlacementReport is a reported load.
type PlacementReport struct {
	AgeMs int64 `json:"age-ms"`
	// Counts is false if the report is too old for its numbers of calls to count.
	Counts        bool    `json:"counts"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	Limit         int     `json:"limit"`
	ServiceTimeUs int64   `json:"service-time-us"`
	FailureRatio  float64 `json:"failure-ratio"`
}
