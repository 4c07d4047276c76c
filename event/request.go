package event

import "github.com/rs/zerolog"

// Request events of packages course, relay, router/entry and
// caller, 3000 to 3099.
var (
	RequestPlaced          = define(3000, zerolog.InfoLevel, "request-placed", "A target was chosen for an attempt; the fields give the basis of the choice, the target's estimated load and the revision of the targets.")
	RequestServed          = define(3001, zerolog.InfoLevel, "request-served", "The complete answer was sent to the client; the field end says on what its end was taken for its completion.")
	RequestRetried         = define(3002, zerolog.WarnLevel, "request-tried-again", "An attempt failed and another one follows; the fields say how it ended and why.")
	RequestRedirected      = define(3010, zerolog.InfoLevel, "request-redirected", "An attempt ended before it used the retry budget, and the next candidate is tried: a home refused or returned a newer state, or the target could not be reached.")
	RequestShed            = define(3011, zerolog.InfoLevel, "request-shed", "A request to a plain service was not accepted, because its targets reject requests and answer late; the field is the fraction that is accepted.")
	RequestNotRun          = define(3003, zerolog.WarnLevel, "request-not-run", "A request was refused and has not run; the reason says why.")
	RequestUnknown         = define(3004, zerolog.WarnLevel, "request-unknown", "A request failed and may have run; the reason says why.")
	FailureForwarded       = define(3005, zerolog.InfoLevel, "request-failure-passed-on", "A failure response of a target was forwarded to the client; the field end is that of served answers.")
	AnswerAborted          = define(3006, zerolog.WarnLevel, "answer-cut", "An answer could not be completed after it had started; its connection was closed.")
	ClientGone             = define(3007, zerolog.InfoLevel, "client-gone", "The client disconnected before the end of its answer; the attempt was cancelled.")
	RequestBodyUnread      = define(3008, zerolog.InfoLevel, "request-body-unread", "The body of a request could not be read.")
	TargetHealthChanged    = define(3009, zerolog.InfoLevel, "target-standing", "Results of requests changed the health state of a target.")
	TargetCrashed          = define(3012, zerolog.WarnLevel, "target-crashed", "A target ended before it had answered a request, or had written a few events of the answer, and does not serve; the fields give the digest of the request, which repeats share, and the shared parts of its prompt.")
	PartQuarantined        = define(3013, zerolog.WarnLevel, "part-quarantined", "A request, or all requests with a part of prompts, are refused, because targets crashed under it again and again; the fields say by what it was decided, or that another router decided. Find out what it does to the target.")
	QuarantineLifted       = define(3014, zerolog.InfoLevel, "quarantine-lifted", "A request, or requests with a part of prompts, are served again; the cause is a success with it, that the verdict expired, or that newer ones replaced it.")
	PromptRefused          = define(3015, zerolog.InfoLevel, "prompt-refused", "A request was not sent to a target, or not to another one, because it or a part of its prompt is quarantined.")
	TargetLimitChanged     = define(3016, zerolog.InfoLevel, "target-limit", "A target named a limit on the requests that it takes from all routers together, or no longer does; the fields give the limit and whether another router told of it.")
	PermitDenied           = define(3017, zerolog.InfoLevel, "permit-denied", "A request was not sent to a target because the fleet has used up the target's limit for the moment; the fields say who denied it and for how long.")
	RequestForwarded       = define(3018, zerolog.InfoLevel, "request-forwarded", "The router reaches no target of the service; another router, which the field names, answered the request.")
	RequestNotTaken        = define(3019, zerolog.InfoLevel, "request-not-taken", "A router that was asked to serve a request for this one could not be reached, or reaches no target either.")
	PathsLost              = define(3020, zerolog.WarnLevel, "paths-lost", "Connections to targets of a service fail, whichever is tried; until one succeeds, requests are passed on to routers that reach targets.")
	PathsRegained          = define(3021, zerolog.InfoLevel, "paths-regained", "A connection to a target of a service was established again.")
	TargetBrittle          = define(3022, zerolog.InfoLevel, "target-brittle", "A target named the number of rejections in a second beyond which it falls over, or no longer does; sends to it need permits meanwhile.")
	TargetAlive            = define(3023, zerolog.InfoLevel, "target-alive", "A target broke off an attempt and was found to serve afterwards, so that the attempt is not held against its request; the fields give the digest of the request, which repeats share.")
	TargetWantsQuiet       = define(3024, zerolog.InfoLevel, "target-wants-quiet", "A target rejected a request and asked this router for no requests for a time, which the field gives.")
	TargetLeaves           = define(3025, zerolog.InfoLevel, "target-leaves", "A target said in a response that it leaves; this router sends it no more requests.")
	ForwardedTargetInvalid = define(3026, zerolog.WarnLevel, "forwarded-target-invalid", "Another router passed a response on and named its target in a way that cannot be read; what the target says of itself is not used.")
	TargetNoticeChecked    = define(3027, zerolog.InfoLevel, "target-notice-checked", "A target that had said that it leaves has a new process, which was asked whether it leaves too; without an answer it gets no requests and is asked again.")
	TargetEnded            = define(3028, zerolog.WarnLevel, "target-ended", "The end of an answer that has neither a length nor chunks is not taken for its completion, because its target did not serve a check afterwards; the field evidence says what was asked for.")
	LogDropped             = define(3090, zerolog.WarnLevel, "log-lines-dropped", "Log lines were over the budget or could not be written; the fields count them.")
)
