// Package reason defines the reasons for which requests are refused or retried.
// Each reason is a constant of type Code, used as a metric label and as the value of
// the Ragwort-Reason header, and has a line in docs/REASONS.md.
package reason

import "sort"

// Code is a stable reason code.
type Code string

// The reason codes; the catalogue gives their meaning. None means no reason.
const (
	None               Code = ""
	UnknownModel       Code = "unknown-model"
	UnknownService     Code = "unknown-service"
	UnknownPath        Code = "unknown-path"
	BodyTooLarge       Code = "body-too-large"
	HeaderTooLarge     Code = "header-too-large"
	MalformedBody      Code = "malformed-body"
	MalformedRequest   Code = "malformed-request"
	RequestTimeout     Code = "request-timeout"
	Unauthenticated    Code = "unauthenticated"
	Forbidden          Code = "forbidden"
	Draining           Code = "draining"
	NotReady           Code = "not-ready"
	Deadline           Code = "deadline"
	TimedOut           Code = "timed-out"
	AccountRate        Code = "account-rate"
	AccountConcurrency Code = "account-concurrency"
	ServiceRate        Code = "service-rate"
	FleetRate          Code = "fleet-rate"
	Overload           Code = "overload"
	QueueFull          Code = "queue-full"
	QueueTimeout       Code = "queue-timeout"
	Shed               Code = "shed"
	LoadBound          Code = "load-bound"
	TargetLeaving      Code = "target-leaving"
	TargetDown         Code = "target-down"
	TargetRefused      Code = "target-refused"
	TargetFailed       Code = "target-failed"
	NoTarget           Code = "no-target"
	NotHome            Code = "not-home"
	ContextElsewhere   Code = "context-elsewhere"
	HomeUnreachable    Code = "home-unreachable"
	RetryBudget        Code = "retry-budget"
	PromptQuarantined  Code = "prompt-quarantined"
	PromptSuspected    Code = "prompt-suspected"
	RequestQuarantined Code = "request-quarantined"
	TargetLimit        Code = "target-limit"
	TargetsWantQuiet   Code = "targets-want-quiet"
	TargetsCold        Code = "targets-cold"
	DomainEvacuated    Code = "domain-evacuated"
	// StreamVersionUnknown and StreamVersionGone refuse streams that cannot be resumed.
	StreamVersionUnknown Code = "stream-version-unknown"
	StreamVersionGone    Code = "stream-version-gone"
	// StreamVersionsUnconfirmed refuses new streams that others could not resume.
	StreamVersionsUnconfirmed Code = "stream-versions-unconfirmed"
	StreamBroken              Code = "stream-broken"
	AnswerTruncated           Code = "answer-truncated"
	AnswerMismatch            Code = "answer-mismatch"
	NotRepeatable             Code = "not-repeatable"
	JournalUnavailable        Code = "journal-unavailable"
	JournalConflict           Code = "journal-conflict"
	KeyReused                 Code = "key-reused"
	KeyExpired                Code = "key-expired"
	KeyAhead                  Code = "key-ahead"
	AttemptRunning            Code = "attempt-running"
	ResultUnknown             Code = "result-unknown"
	StoreUnavailable          Code = "store-unavailable"
	VersionRequired           Code = "version-required"
	VersionStale              Code = "version-stale"
	InvalidDocument           Code = "invalid-document"
	NotFound                  Code = "not-found"
	Internal                  Code = "internal"
)

// Info describes a reason for the caller and the operator.
type Info struct {
	// Status is the HTTP status of a final answer with this reason.
	Status int
	// Retriable means that a later retry of the request can succeed; Retry-After
	// is set then.
	Retriable bool
	// Text is a one-sentence description.
	Text string
}

var catalogue = map[Code]Info{
	UnknownModel:              {404, false, "No service of that name takes chat requests."},
	UnknownService:            {404, false, "No plain service of that name is configured."},
	UnknownPath:               {404, false, "The path is not served."},
	HeaderTooLarge:            {431, false, "The request head is over the limit."},
	BodyTooLarge:              {413, false, "The request body is over the limit."},
	MalformedBody:             {400, false, "The request body is not the JSON that the path takes."},
	MalformedRequest:          {400, false, "The request cannot be read."},
	RequestTimeout:            {408, true, "The request did not arrive completely before its deadline."},
	Unauthenticated:           {401, false, "The key is missing or not known."},
	Forbidden:                 {403, false, "The key is known but may not do this."},
	Draining:                  {503, true, "The router is stopping."},
	NotReady:                  {503, true, "The router has no settings yet."},
	Deadline:                  {504, true, "The deadline passed before the request was dispatched."},
	TimedOut:                  {504, true, "The route's timeout passed before the answer was whole."},
	AccountRate:               {429, true, "The client account is over its request rate."},
	AccountConcurrency:        {429, true, "The client account has too many requests in flight."},
	ServiceRate:               {429, true, "The service is over its request rate."},
	FleetRate:                 {429, true, "The fleet is over its request rate."},
	Overload:                  {503, true, "The targets of the service have too little room."},
	QueueFull:                 {503, true, "The queue before the target is full."},
	QueueTimeout:              {503, true, "The request waited for a target as long as it may."},
	Shed:                      {503, true, "The request gave way to requests of higher priority."},
	LoadBound:                 {503, true, "The target is at its load bound."},
	TargetLeaving:             {503, true, "The target is leaving and takes no new work."},
	TargetDown:                {503, true, "The target cannot be reached."},
	TargetRefused:             {503, true, "The target refused the request before running it."},
	TargetFailed:              {502, true, "The target answered with a failure."},
	NoTarget:                  {503, true, "The service has no live target."},
	NotHome:                   {503, true, "The router asked is not the target's home."},
	ContextElsewhere:          {503, true, "The chat's context is on another target."},
	HomeUnreachable:           {503, true, "The target's home router cannot be reached."},
	RetryBudget:               {503, true, "The retry budget is spent."},
	RequestQuarantined:        {503, true, "Targets crashed again and again under this request."},
	TargetLimit:               {503, true, "The targets of the service take no more requests for the moment, by the limits that they name."},
	TargetsCold:               {503, true, "The targets of the service that are left are cold and take no more requests for the moment."},
	DomainEvacuated:           {503, true, "All targets of the service that are left are in failure domains that the operator has evacuated."},
	TargetsWantQuiet:          {503, true, "The targets of the service have asked this router for no requests for a time."},
	StreamVersionUnknown:      {503, false, "The software version that began the stream is not known, so that no target can continue it. Start the stream anew."},
	StreamVersionsUnconfirmed: {503, true, "This router cannot tell which software versions are in service. Another router may begin the stream."},
	StreamVersionGone:         {503, false, "No target runs the software version that began the stream. Start the stream anew."},
	PromptQuarantined:         {503, true, "Targets crashed again and again under a part of the prompt."},
	PromptSuspected:           {503, true, "Targets crashed again and again under prompts that share parts with this one; such requests are tried a few at a time."},
	StreamBroken:              {502, true, "The answer broke off and could not be resumed."},
	AnswerTruncated:           {502, true, "The target's answer was not whole."},
	AnswerMismatch:            {502, true, "The target answered for another attempt."},
	NotRepeatable:             {502, false, "The request may have run and may not be repeated."},
	JournalUnavailable:        {503, true, "The intent could not be recorded, so nothing was run."},
	JournalConflict:           {503, true, "Another router is recording the same key."},
	KeyReused:                 {422, false, "The idempotency key was used with another request."},
	KeyExpired:                {410, false, "The idempotency key is older than its retention."},
	KeyAhead:                  {400, false, "The idempotency key carries a time that lies ahead of the router's clock."},
	AttemptRunning:            {409, true, "The first request with this key is still running."},
	ResultUnknown:             {409, false, "The first request with this key may have run; its result is not known."},
	StoreUnavailable:          {503, true, "The platform's object API does not answer."},
	VersionRequired:           {428, false, "A change needs If-Match."},
	VersionStale:              {412, false, "The object changed since the given version."},
	InvalidDocument:           {422, false, "The document has findings."},
	NotFound:                  {404, false, "No such object."},
	Internal:                  {500, true, "The router met an unexpected fault."},
}

// Describe returns the description of a code, or that of Internal for a code that
// is not in the catalogue.
func Describe(c Code) Info {
	info, ok := catalogue[c]
	if !ok {
		return catalogue[Internal]
	}
	return info
}

// All returns all codes of the catalogue in alphabetical order.
func All() []Code {
	codes := make([]Code, 0, len(catalogue))
	for c := range catalogue {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}
