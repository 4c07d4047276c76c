// Package settings holds the tree of settings: documents, inheritance, checks
// and the immutable snapshot that the rest of the router reads.
//
// Documents are objects of the platform's object API. The kinds are fleet (one
// object named fleet), failure-domains, services, client-accounts, targets and
// rules. The first four may carry a "settings" object; values flow from fleet
// to failure domain to service to client account, and each level overrides
// what it inherits.
package settings

import "time"

// Millis is a duration in whole milliseconds, as it stands in JSON.
type Millis int64

// Duration converts to a time.Duration.
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

// Placement says how requests are spread over targets.
type Placement struct {
	// LoadMultiple bounds a target's load: this many times the mean of its
	// service; 1.05 to 10.
	LoadMultiple float64 `json:"load_multiple"`
	// ReuseWeight trades reuse against skew: 0 places by load alone, 1 goes to
	// the chat's context whenever the bound allows.
	ReuseWeight float64 `json:"reuse_weight"`
	// PrefixTokens is the shortest shared prefix, in tokens, that groups chats;
	// zero turns grouping off.
	PrefixTokens int `json:"prefix_tokens"`
	// JoinRampMS is how long a joining target takes only new chats and overflow.
	JoinRampMS Millis `json:"join_ramp_ms"`
	// FlapWindowMS is the window in which repeated joins of a target are damped.
	FlapWindowMS Millis `json:"flap_window_ms"`
	// ChatTableEntries bounds the chat table of one home.
	ChatTableEntries int `json:"chat_table_entries"`
	// CacheEventsMS is the time between two readings of an engine's cache
	// events; zero reads none.
	CacheEventsMS Millis `json:"cache_events_ms"`
	// ContextTTLMS is how long a context token is believed.
	ContextTTLMS Millis `json:"context_ttl_ms"`
}

// Limits bound what a client account, a service or the fleet may use.
type Limits struct {
	// RequestsPerSecond of the level at which it is set; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the token bucket's depth in requests.
	Burst int `json:"burst"`
	// Concurrency bounds requests in flight; zero means no limit.
	Concurrency int `json:"concurrency"`
	// Weight is the client account's share in fair queueing.
	Weight float64 `json:"weight"`
	// Priority orders requests in queues and at engines; 0 to 9, higher first.
	Priority int `json:"priority"`
	// BodyBytes bounds a request body.
	BodyBytes int `json:"body_bytes"`
	// DeadlineMS is the deadline of a request that does not bring its own.
	DeadlineMS Millis `json:"deadline_ms"`
}

// Queue bounds the queue before a service's targets at each home.
type Queue struct {
	// Length is the most requests that wait.
	Length int `json:"length"`
	// WaitMS is the longest wait before a request is refused.
	WaitMS Millis `json:"wait_ms"`
	// TargetInFlight is the most requests in flight before one target; further
	// ones wait at its home. Zero means no limit besides the load bound.
	TargetInFlight int `json:"target_in_flight"`
}

// Retry bounds further attempts.
type Retry struct {
	// Attempts is the most attempts of one request, the first included.
	Attempts int `json:"attempts"`
	// BudgetRatio bounds retries as a share of requests.
	BudgetRatio float64 `json:"budget_ratio"`
	// BackoffMS is the mean wait before the second attempt; it doubles.
	BackoffMS Millis `json:"backoff_ms"`
	// BackoffMaxMS is the longest mean wait.
	BackoffMaxMS Millis `json:"backoff_max_ms"`
}

// Journal says how idempotency keys are kept.
type Journal struct {
	// Shards is the number of journal objects.
	Shards int `json:"shards"`
	// RetentionMS is how long a key is remembered.
	RetentionMS Millis `json:"retention_ms"`
	// WritesPerSecond is how many writes of the platform's the journals of all
	// routers use together in the steady state.
	WritesPerSecond int `json:"writes_per_second"`
	// BatchMS is how long a writer gathers intents for one write.
	BatchMS Millis `json:"batch_ms"`
	// ResultBytes is the largest recorded answer.
	ResultBytes int `json:"result_bytes"`
}

// Membership says how routers learn of each other.
type Membership struct {
	// HeartbeatMS is the time between heartbeats.
	HeartbeatMS Millis `json:"heartbeat_ms"`
	// Fanout is the number of routers each heartbeat goes to.
	Fanout int `json:"fanout"`
	// SuspectMS is the silence after which a router is suspected.
	SuspectMS Millis `json:"suspect_ms"`
	// RemoveMS is the time from suspicion to removal.
	RemoveMS Millis `json:"remove_ms"`
	// VMListMS is the time between reads of the platform's VM list.
	VMListMS Millis `json:"vm_list_ms"`
}

// Withdrawal says how a target is emptied.
type Withdrawal struct {
	// KVBytesPerSecond bounds exports of KV cache per target; zero turns
	// exports off.
	KVBytesPerSecond int `json:"kv_bytes_per_second"`
	// ReturnWindowMS is how recently a chat was seen to be worth exporting.
	ReturnWindowMS Millis `json:"return_window_ms"`
	// LimitMS is the longest withdrawal; zero waits for the last request.
	LimitMS Millis `json:"limit_ms"`
}

// Stop says how a router stops.
type Stop struct {
	// ReadyDelayMS is the time between failing readiness and refusing requests.
	ReadyDelayMS Millis `json:"ready_delay_ms"`
	// LimitMS is the longest planned stop; what is in flight then is cut.
	LimitMS Millis `json:"limit_ms"`
}

// Orders says how engines are given orders.
type Orders struct {
	// ValidityMS is how long an order to an engine that does not check fencing
	// numbers may be sent after it was decided.
	ValidityMS Millis `json:"validity_ms"`
	// LoadsPerMinute bounds loads through the weight store.
	LoadsPerMinute int `json:"loads_per_minute"`
}

// Defaults returns the values in force where no document says otherwise.
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
