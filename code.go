package hornbeamcroft

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"
)

// Claim states what is known about the execution of a request. Every answer carries exactly one claim.
type Claim uint8

// The claims.
const (
	// ClaimNotRun means that no upstream has run the request and none will, so that sending it again is safe.
	ClaimNotRun Claim = iota
	// ClaimMayHaveRun means that it is unknown whether an upstream has run the request.
	ClaimMayHaveRun
	// ClaimRan means that an upstream has run the request and the answer is the upstream's.
	ClaimRan
)

// String returns the value of the Hornbeam-Claim header.
func (c Claim) String() string {
	switch c {
	case ClaimNotRun:
		return "not-run"
	case ClaimMayHaveRun:
		return "may-have-run"
	case ClaimRan:
		return "ran"
	}
	return "invalid"
}

// Code is a numbered result code. The hundreds digit determines the claim: 1xx means ran, 2xx not run, 3xx may have run, and
// 4xx rejected because of the caller's input and not run. 5xx are results of operators' commands.
type Code uint16

// Results of requests that ran.
const (
	CodeAnswered           Code = 100
	CodeAnsweredFromRecord Code = 101
)

// Results of requests that did not run.
const (
	CodeOverloaded            Code = 200
	CodeQueueExpired          Code = 201
	CodeDeadlineTooShort      Code = 202
	CodeDraining              Code = 203
	CodeNoUpstream            Code = 204
	CodePoisonRefused         Code = 205
	CodeNoDocument            Code = 206
	CodeNoPermit              Code = 207
	CodeCancelledBeforeStart  Code = 208
	CodeConfirmedNotRun       Code = 209
	CodeHomeUnreachable       Code = 210
	CodeUpstreamUnreachable   Code = 211
	CodeRetryBudgetSpent      Code = 212
	CodeHomeMoved             Code = 213
	CodeUpstreamRefused       Code = 214
	CodeSuspectWaiting        Code = 215
	CodeDuplicateTableFull    Code = 216
	CodeServicePressedBelow   Code = 217
	CodeFencedAfterLinkLoss   Code = 218
	CodeUpstreamNotRegistered Code = 219
	CodeRouteUnreadable       Code = 220
	CodeConfigurationUnproven Code = 221
	CodeQuotaUndecided        Code = 222
)

// Results of requests whose outcome is unknown.
const (
	CodeOutcomeUnknown     Code = 300
	CodeUpstreamCrashed    Code = 301
	CodeDeadlinePassed     Code = 302
	CodeKeyBeforeTakeover  Code = 303
	CodeAnswerTruncated    Code = 304
	CodeStillRunning       Code = 305
	CodeCallerGone         Code = 306
	CodeKeyExpired         Code = 307
	CodeEarlierSendUnknown Code = 308
	CodeAnswerGone         Code = 309
	CodeUnprovenRefusal    Code = 310
)

// Results of requests rejected because of the caller's input.
const (
	CodeUnknownService     Code = 400
	CodeUnknownRequestType Code = 401
	CodeKeyMissing         Code = 402
	CodeKeyFromFuture      Code = 403
	CodeTooDeep            Code = 404
	CodeMalformed          Code = 405
	CodeBodyTooLarge       Code = 406
	CodeKeyReused          Code = 407
	CodeUnauthorized       Code = 408
	CodeHeaderTooLarge     Code = 409
	CodeNoRoute            Code = 410
	CodeBodyTooSlow        Code = 411
	CodeCredentialUnknown  Code = 412
	CodeQuotaExceeded      Code = 413
)

// Results of operators' commands.
const (
	CodeAccepted         Code = 500
	CodeInvalid          Code = 501
	CodeConflict         Code = 502
	CodeWriteUnknown     Code = 503
	CodeStoreUnreachable Code = 504
	CodeStoreBehind      Code = 505
	CodeNotOwner         Code = 506
	CodeUnchanged        Code = 507
	CodeNodeUnreachable  Code = 508
	CodeUsage            Code = 509
	CodeNotFound         Code = 510
)

// CodeInfo describes a result code for the table in the docs and for hornbeamctl codes.
type CodeInfo struct {
	Code Code   `json:"code"`
	Name string `json:"name"`
	// Status is the HTTP status with which the node answers, or the exit status for codes of operators' commands.
	Status int `json:"status"`
	// Meaning explains the code to operators in one sentence.
	Meaning string `json:"meaning"`
}

// Codes lists all result codes in ascending order. docs/codes.md must hold the same table, which a test of hornbeamctl
// checks.
var Codes = []CodeInfo{
	{CodeAnswered, "answered", 200, "The upstream ran the request; status and body are the upstream's."},
	{CodeAnsweredFromRecord, "answered-from-record", 200, "The key ran before; the recorded answer is returned."},
	{CodeOverloaded, "overloaded", 503, "Shed by admission; more important work needs the capacity."},
	{CodeQueueExpired, "queue-expired", 503, "Waited in the admission queue for longer than the queue's limit."},
	{CodeDeadlineTooShort, "deadline-too-short", 504, "The remaining time cannot suffice for the observed service time."},
	{CodeDraining, "draining", 503, "The node is draining and accepts no new work."},
	{CodeNoUpstream, "no-upstream", 503, "No live upstream of the service is known."},
	{CodePoisonRefused, "poison-refused", 503, "The request crashed upstreams and is refused for a time."},
	{CodeNoDocument, "no-document", 503, "The node has no accepted document yet."},
	{CodeNoPermit, "no-permit", 503, "The key's home has no valid permit for non-idempotent work."},
	{CodeCancelledBeforeStart, "cancelled-before-start", 503, "The caller cancelled before the request started."},
	{CodeConfirmedNotRun, "confirmed-not-run", 503, "The executing node confirmed that the request did not run."},
	{CodeHomeUnreachable, "home-unreachable", 503, "The key's home could not be reached; nothing was sent to it."},
	{CodeUpstreamUnreachable, "upstream-unreachable", 503, "No connection to the upstream could be opened."},
	{CodeRetryBudgetSpent, "retry-budget-spent", 503, "The retry budget of the whole request is spent."},
	{CodeHomeMoved, "home-moved", 503, "The node is no longer the home of the key."},
	{CodeUpstreamRefused, "upstream-refused", 503, "The upstream refused the request as not started."},
	{CodeSuspectWaiting, "suspect-waiting", 503, "A suspect of a crash waits for its isolated run."},
	{CodeDuplicateTableFull, "duplicate-table-full", 503, "The table of idempotency keys is full."},
	{CodeServicePressedBelow, "service-pressed-below", 503, "A service further down would shed the request."},
	{CodeFencedAfterLinkLoss, "fenced-after-link-loss", 503, "The call was fenced by an outcome query before it arrived."},
	{CodeUpstreamNotRegistered, "upstream-not-registered", 503, "The node has not yet reached its own upstream."},
	{CodeRouteUnreadable, "route-unreadable", 503, "The node cannot read the configuration of the route or of the tenants."},
	{CodeConfigurationUnproven, "configuration-unproven", 503, "The node cannot prove that its tenants are recent."},
	{CodeQuotaUndecided, "quota-undecided", 503, "No permit of the tenant's quota could be obtained in time."},
	{CodeOutcomeUnknown, "outcome-unknown", 502, "The answer was lost; the request may have run."},
	{CodeUpstreamCrashed, "upstream-crashed", 502, "The upstream crashed while it ran the request."},
	{CodeDeadlinePassed, "deadline-passed", 504, "The deadline passed while the request was running."},
	{CodeKeyBeforeTakeover, "key-before-takeover", 502, "The key was issued before its home changed; an earlier run cannot be excluded."},
	{CodeAnswerTruncated, "answer-truncated", 502, "The upstream's answer was incomplete, malformed or not signed, and is not passed on."},
	{CodeStillRunning, "still-running", 504, "An earlier send of the key is still running."},
	{CodeCallerGone, "caller-gone", 504, "The caller cancelled while the request was running."},
	{CodeKeyExpired, "key-expired", 502, "The key is older than the window; its record may have been dropped."},
	{CodeEarlierSendUnknown, "earlier-send-unknown", 502, "This send did not run, but an earlier send of the key may have."},
	{CodeAnswerGone, "answer-gone", 502, "The request ran; its answer was lost, and the node that had it needed the memory."},
	{CodeUnprovenRefusal, "unproven-refusal", 502, "The upstream failed the request with a status that says that it did not run, and did not confirm that."},
	{CodeUnknownService, "unknown-service", 404, "The document has no such service."},
	{CodeUnknownRequestType, "unknown-request-type", 404, "The document has no such request type."},
	{CodeKeyMissing, "key-missing", 400, "A non-idempotent request needs an Idempotency-Key."},
	{CodeKeyFromFuture, "key-from-future", 400, "The time in the key is ahead of the node's clock by more than the allowed skew."},
	{CodeTooDeep, "too-deep", 400, "The call graph is deeper than allowed."},
	{CodeMalformed, "malformed", 400, "The request could not be parsed."},
	{CodeBodyTooLarge, "body-too-large", 413, "The body is larger than allowed."},
	{CodeKeyReused, "key-reused", 422, "The key was used before with different content."},
	{CodeUnauthorized, "unauthorized", 401, "The credential is missing or wrong."},
	{CodeHeaderTooLarge, "header-too-large", 431, "The header is larger than allowed."},
	{CodeNoRoute, "no-route", 404, "No route of the configuration matches host and path."},
	{CodeBodyTooSlow, "body-too-slow", 408, "The body did not arrive in time."},
	{CodeCredentialUnknown, "credential-unknown", 401, "The API key is missing, malformed or unknown."},
	{CodeQuotaExceeded, "quota-exceeded", 429, "The tenant's quota over all nodes is used up."},
	{CodeAccepted, "accepted", 0, "The change is accepted."},
	{CodeInvalid, "invalid", 1, "The document is invalid; nothing was written."},
	{CodeConflict, "conflict", 3, "Another change of the same section was accepted first; nothing was written."},
	{CodeWriteUnknown, "write-unknown", 4, "The outcome of the write is unknown; run show or repeat the command."},
	{CodeStoreUnreachable, "store-unreachable", 5, "The store could not be reached; nothing was written."},
	{CodeStoreBehind, "store-behind", 6, "The store holds an older document than the nodes; nothing was written."},
	{CodeNotOwner, "not-owner", 7, "The section belongs to another owner; nothing was written."},
	{CodeUnchanged, "unchanged", 0, "The accepted document already has this content."},
	{CodeNodeUnreachable, "node-unreachable", 8, "A node that the command needs did not answer."},
	{CodeUsage, "usage", 2, "The command line or the settings are wrong; nothing was done."},
	{CodeNotFound, "not-found", 9, "What the command looks for is not in what it was given."},
}

// codeInfos maps each defined code to its description.
var codeInfos = func() map[Code]CodeInfo {
	m := make(map[Code]CodeInfo, len(Codes))
	for _, info := range Codes {
		m[info.Code] = info
	}
	return m
}()

// Info returns the description of c. If c is not defined, its name is "undefined" and its status 500.
func (c Code) Info() CodeInfo {
	if info, ok := codeInfos[c]; ok {
		return info
	}
	return CodeInfo{Code: c, Name: "undefined", Status: 500}
}

// Claim returns the claim of the code's range. For a number outside the ranges it returns ClaimMayHaveRun, which asserts the
// least.
func (c Code) Claim() Claim {
	switch c / 100 {
	case 1:
		return ClaimRan
	case 2, 4:
		return ClaimNotRun
	}
	return ClaimMayHaveRun
}

// EndedCode returns the code of a call that was running when ctx ended.
func EndedCode(ctx context.Context) Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CodeDeadlinePassed
	}
	return CodeCallerGone
}

// String returns the number and the name of the code, for example "205 poison-refused".
func (c Code) String() string {
	return strconv.Itoa(int(c)) + " " + c.Info().Name
}
