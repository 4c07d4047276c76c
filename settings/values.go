// Package settings implements the tree of settings: documents, checks,
// inheritance and the immutable snapshot that the rest of the router reads.
//
// Documents are objects of the platform's object API. The kinds are fleet (one
// object named fleet), failure-domains, services, client-accounts, targets and
// rules. The first four may contain a "settings" object. Values are inherited
// from fleet to failure domain to service to client account, and each level may
// override them.
package settings

import "time"

// Millis is a duration in whole milliseconds, as written in JSON.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Values are the settings in force for one combination of failure domain,
// service and client account.
type Values struct {
	Placement  Placement  `json:"placement"`
	Limits     Limits     `json:"limits"`
	Queue      Queue      `json:"queue"`
	Retry      Retry      `json:"retry"`
	Journal    Journal    `json:"journal"`
	Membership Membership `json:"membership"`
	Withdrawal Withdrawal `json:"withdrawal"`
	Stop       Stop       `json:"stop"`
	Orders     Orders     `json:"orders"`
}

// Placement controls how requests are distributed over targets.
type Placement struct {
	// LoadMultiple is the maximum load of a target, as a multiple of the mean load
	// of its service; 1.05 to 10.
	LoadMultiple float64 `json:"load_multiple"`
	// ReuseWeight is the weight of cache reuse against load skew: 0 places by load
	// alone, 1 chooses the target with the chat's context whenever the load bound
	// allows.
	ReuseWeight float64 `json:"reuse_weight"`
	// PrefixTokens is the minimum length, in tokens, of a shared prefix for chats
	// to be grouped; zero disables grouping.
	PrefixTokens int `json:"prefix_tokens"`
	// JoinRampMS is how long a joining target receives only new chats and
	// overflow.
	JoinRampMS Millis `json:"join_ramp_ms"`
	// FlapWindowMS is the window in which repeated joins of a target are damped.
	FlapWindowMS Millis `json:"flap_window_ms"`
	// ChatTableEntries is the maximum number of entries in the chat table of one
	// home.
	ChatTableEntries int `json:"chat_table_entries"`
	// CacheEventsMS is the time between two reads of an engine's cache events;
	// zero disables the reads.
	CacheEventsMS Millis `json:"cache_events_ms"`
	// ContextTTLMS is how long a context token is valid after its time of issue.
	ContextTTLMS Millis `json:"context_ttl_ms"`
}

// Limits restricts what a client account, a service or the fleet may use.
type Limits struct {
	// RequestsPerSecond is the request rate allowed at the level that sets it;
	// zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the depth of the token bucket, in requests.
	Burst int `json:"burst"`
	// Concurrency is the number of requests in flight allowed at the level that
	// sets it; zero means no limit.
	Concurrency int `json:"concurrency"`
	// Weight is the client account's share in fair queueing.
	Weight float64 `json:"weight"`
	// Priority orders requests in queues and at engines; 0 to 9, higher first.
	Priority int `json:"priority"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int `json:"body_bytes"`
	// DeadlineMS is the deadline of a request that does not set one.
	DeadlineMS Millis `json:"deadline_ms"`
}

// Queue controls the queue of a service at each home.
type Queue struct {
	// Length is the maximum number of queued requests.
	Length int `json:"length"`
	// WaitMS is the maximum time in the queue; then the request is refused.
	WaitMS Millis `json:"wait_ms"`
	// TargetInFlight is the maximum number of requests in flight to one target;
	// further ones wait at its home. Zero means no limit other than the load
	// bound.
	TargetInFlight int `json:"target_in_flight"`
}

// Retry limits the attempts of a request.
type Retry struct {
	// Attempts is the maximum number of attempts, including the first.
	Attempts int `json:"attempts"`
	// BudgetRatio is the maximum number of retries as a share of requests.
	BudgetRatio float64 `json:"budget_ratio"`
	// BackoffMS is the mean backoff before the second attempt; it doubles with
	// each further attempt.
	BackoffMS Millis `json:"backoff_ms"`
	// BackoffMaxMS is the maximum mean backoff.
	BackoffMaxMS Millis `json:"backoff_max_ms"`
}

// Journal controls how idempotency keys are stored.
type Journal struct {
	// Shards is the number of journal objects.
	Shards int `json:"shards"`
	// RetentionMS is how long a key is kept.
	RetentionMS Millis `json:"retention_ms"`
	// WritesPerSecond is the rate of writes to the platform that the journals of
	// all routers use together in the steady state.
	WritesPerSecond int `json:"writes_per_second"`
	// BatchMS is how long a writer collects intents for one write.
	BatchMS Millis `json:"batch_ms"`
	// ResultBytes is the maximum size of a recorded response.
	ResultBytes int `json:"result_bytes"`
}

// Membership controls how routers detect which other routers are alive.
type Membership struct {
	// HeartbeatMS is the time between heartbeats.
	HeartbeatMS Millis `json:"heartbeat_ms"`
	// Fanout is the number of routers to which each heartbeat is sent.
	Fanout int `json:"fanout"`
	// SuspectMS is the time without a heartbeat after which a router becomes a
	// suspect.
	SuspectMS Millis `json:"suspect_ms"`
	// RemoveMS is the time from suspicion to removal.
	RemoveMS Millis `json:"remove_ms"`
	// VMListMS is the time between reads of the platform's VM list.
	VMListMS Millis `json:"vm_list_ms"`
}

// Withdrawal controls how a target is drained.
type Withdrawal struct {
	// KVBytesPerSecond is the maximum rate of KV cache exports from one target;
	// zero disables exports.
	KVBytesPerSecond int `json:"kv_bytes_per_second"`
	// ReturnWindowMS is the maximum time since the last activity of a chat for its
	// KV cache to be exported.
	ReturnWindowMS Millis `json:"return_window_ms"`
	// LimitMS is the maximum duration of a withdrawal; zero waits for the last
	// request to end.
	LimitMS Millis `json:"limit_ms"`
}

// Stop controls the planned stop of a router.
type Stop struct {
	// ReadyDelayMS is the time between failing readiness and refusing requests.
	ReadyDelayMS Millis `json:"ready_delay_ms"`
	// LimitMS is the maximum duration of a planned stop; requests still in flight
	// then are aborted.
	LimitMS Millis `json:"limit_ms"`
}

// Orders controls how orders are sent to engines.
type Orders struct {
	// ValidityMS is how long an order to an engine that does not check fencing
	// numbers may be sent after it was decided.
	ValidityMS Millis `json:"validity_ms"`
	// LoadsPerMinute is the maximum rate of loads through the weight store.
	LoadsPerMinute int `json:"loads_per_minute"`
}

// Defaults returns the values in force where no document sets others.
func Defaults() Values {
	return Values{
		Placement: Placement{
			LoadMultiple: 1.25, ReuseWeight: 0.8, PrefixTokens: 256, JoinRampMS: 60_000,
			FlapWindowMS: 60_000, ChatTableEntries: 200_000, ContextTTLMS: 3_600_000,
		},
		Limits:     Limits{Burst: 50, Weight: 1, Priority: 5, BodyBytes: 1 << 20, DeadlineMS: 120_000},
		Queue:      Queue{Length: 256, WaitMS: 5_000},
		Retry:      Retry{Attempts: 3, BudgetRatio: 0.1, BackoffMS: 20, BackoffMaxMS: 1_000},
		Journal:    Journal{Shards: 4, RetentionMS: 86_400_000, WritesPerSecond: 150, BatchMS: 5, ResultBytes: 16 << 10},
		Membership: Membership{HeartbeatMS: 500, Fanout: 3, SuspectMS: 2_000, RemoveMS: 4_000, VMListMS: 2_000},
		Withdrawal: Withdrawal{KVBytesPerSecond: 50 << 20, ReturnWindowMS: 1_800_000, LimitMS: 0},
		Stop:       Stop{ReadyDelayMS: 500, LimitMS: 120_000},
		Orders:     Orders{ValidityMS: 2_000, LoadsPerMinute: 6},
	}
}
