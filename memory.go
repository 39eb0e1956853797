package hornbeamcroft

// Memory is the account of the memory that the bodies of one request hold in a process: the request's body and the body of
// its answer. It is safe for concurrent use.
type Memory interface {
	// Reserve adds bytes to the account. It returns false and adds nothing if the process has no memory left for them.
	Reserve(bytes int) bool
	// Release takes bytes from the account.
	Release(bytes int)
}

// RetainedMemory is an account of memory that is held only while no request in flight needs it. It is safe for concurrent use.
type RetainedMemory interface {
	Memory
	// Free returns the number of bytes that could be reserved now.
	Free() int
}

// Estimated sizes in memory, in bytes, of the parts of an answer. Names of services and tenants are not counted, because they belong to
// the configuration.
const (
	fieldBytes     = 32
	levelBytes     = 64
	shareBytes     = 48
	callsBytes     = 24
	loadBytes      = 144
	demandBytes    = 8
	statementBytes = 96
)

// ContentBytes returns the estimated memory, in bytes, of what Facts leaves out of the answer.
func (a Answer) ContentBytes() int {
	n := cap(a.Body) + len(a.ContentType) + fieldBytes*cap(a.Header) + callsBytes*cap(a.ServiceCalls)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	for _, level := range a.AdmissionLevels {
		n += levelBytes + shareBytes*cap(level.Shares)
	}
	if a.Load != nil {
		n += loadBytes + demandBytes*cap(a.Load.Demand) + shareBytes*cap(a.Load.Shares)
	}
	if a.Upstream != nil {
		n += statementBytes
	}
	return n
}

// Facts returns the answer without header, body and reports, which take most of its memory. An answer of an upstream is of no use
// without them and gets CodeAnswerGone. Any other code states the whole outcome and stays.
func (a Answer) Facts() Answer {
	f := Answer{
		ID: a.ID, Code: a.Code, UnspentRetries: a.UnspentRetries, RetryAfter: a.RetryAfter, RetryGranted: a.RetryGranted,
		ServiceTime: a.ServiceTime, Home: a.Home,
	}
	if a.Code.Claim() == ClaimRan {
		f.Code, f.RetryAfter, f.RetryGranted = CodeAnswerGone, 0, false
	}
	return f
}

// ReservedIn returns the answer after reserving its body in the account, or only its facts if no memory is left for the body. The account
// may be nil.
func (a Answer) ReservedIn(m Memory) Answer {
	if m == nil || len(a.Body) == 0 || m.Reserve(cap(a.Body)) {
		return a
	}
	return a.Facts()
}
