package settings

import (
	"encoding/json"
	"strings"
)

// Level is one level of the settings tree.
type Level string

// The levels. Each one overrides those before it.
const (
	LevelDefault Level = "default"
	LevelFleet   Level = "fleet"
	LevelDomain  Level = "failure-domain"
	LevelService Level = "service"
	LevelAccount Level = "client-account"
)

// KeyType is the JSON type of a setting.
type KeyType string

// The types of settings.
const (
	TypeInteger KeyType = "integer"
	TypeNumber  KeyType = "number"
)

// Key describes one setting. The checks, docs/SETTINGS.md and "ragwort settings
// explain" are all generated from the table of keys.
type Key struct {
	// Name is the group and the key joined by a dot, as in
	// placement.load_multiple.
	Name string
	Type KeyType
	Unit string
	// Min and Max are the smallest and the largest allowed value.
	Min, Max float64
	// Levels are the levels at which the router reads the key. Any level may set
	// any key; at a level not listed here the value is only inherited by the
	// levels below.
	Levels []Level
	// Description describes in one sentence what the key controls.
	Description string
}

const (
	unitMillis = "ms"
	unitBytes  = "bytes"
	unitNone   = ""
	dayMS      = 86_400_000
	maxCount   = 1e9
)

var (
	domainLevels  = []Level{LevelFleet, LevelDomain}
	serviceLevels = []Level{LevelFleet, LevelDomain, LevelService}
	allLevels     = []Level{LevelFleet, LevelDomain, LevelService, LevelAccount}
	fleetLevels   = []Level{LevelFleet}
)

// table describes all keys, in the order of the documentation.
var table = []Key{
	{"placement.load_multiple", TypeNumber, "× mean", 1.05, 10, serviceLevels, "Maximum load of a target, as a multiple of the mean load of its service."},
	{"placement.reuse_weight", TypeNumber, unitNone, 0, 1, allLevels, "Weight of cache reuse against load skew: 0 places by load alone, 1 chooses the target with the chat's context whenever the load bound allows."},
	{"placement.prefix_tokens", TypeInteger, "tokens", 0, 1e6, serviceLevels, "Minimum length of a shared prefix for chats to be grouped; 0 disables grouping."},
	{"placement.join_ramp_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "How long a joining target receives only new chats and overflow."},
	{"placement.flap_window_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "Window in which repeated joins of a target are damped."},
	{"placement.chat_table_entries", TypeInteger, "entries", 0, 1e7, domainLevels, "Maximum number of entries in the chat table of one home."},
	{"placement.cache_events_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "Time between two reads of an engine's cache events, which correct the chat table and cost about 70 bytes each; 0 disables the reads."},
	{"placement.context_ttl_ms", TypeInteger, unitMillis, 0, 7 * dayMS, serviceLevels, "How long a context token is valid after its time of issue."},
	{"limits.requests_per_second", TypeNumber, "requests/s", 0, maxCount, allLevels, "Request rate allowed at the level that sets it; 0 means no limit."},
	{"limits.burst", TypeInteger, "requests", 1, maxCount, allLevels, "Depth of the token bucket."},
	{"limits.concurrency", TypeInteger, "requests", 0, maxCount, allLevels, "Requests in flight allowed at the level that sets it; 0 means no limit."},
	{"limits.weight", TypeNumber, unitNone, 0.01, 1000, allLevels, "Share of the client account in fair queueing."},
	{"limits.priority", TypeInteger, unitNone, 0, 9, allLevels, "Priority in queues and at engines; higher goes first and is shed last."},
	{"limits.body_bytes", TypeInteger, unitBytes, 1024, 4 << 20, allLevels, "Maximum size of a request body; larger ones are refused with 413."},
	{"limits.deadline_ms", TypeInteger, unitMillis, 1, dayMS, allLevels, "Deadline of a request that does not set one."},
	{"queue.length", TypeInteger, "requests", 0, 1e6, serviceLevels, "Maximum number of requests queued for a service at one home."},
	{"queue.wait_ms", TypeInteger, unitMillis, 0, dayMS, allLevels, "Maximum time in the queue; then the request is refused with queue-timeout."},
	{"queue.target_in_flight", TypeInteger, "requests", 0, 1e6, serviceLevels, "Maximum number of requests in flight to one target; further ones wait at its home in the order of fair queueing. 0 means no limit other than the load bound."},
	{"retry.attempts", TypeInteger, "attempts", 1, 10, allLevels, "Maximum number of attempts of one request, including the first."},
	{"retry.budget_ratio", TypeNumber, unitNone, 0, 1, serviceLevels, "Maximum number of retries as a share of requests."},
	{"retry.backoff_ms", TypeInteger, unitMillis, 0, 60_000, serviceLevels, "Mean backoff before the second attempt; it doubles with each further attempt."},
	{"retry.backoff_max_ms", TypeInteger, unitMillis, 0, 600_000, serviceLevels, "Maximum mean backoff before an attempt."},
	{"journal.shards", TypeInteger, "objects", 1, 4096, fleetLevels, "Number of shards of the journal; it is fixed when the journal is first used."},
	{"journal.retention_ms", TypeInteger, unitMillis, 1000, 30 * dayMS, fleetLevels, "How long an idempotency key is kept."},
	{"journal.writes_per_second", TypeInteger, "writes/s", 1, 10_000, fleetLevels, "Rate of writes to the platform that the journals of all routers use together in the steady state."},
	{"journal.batch_ms", TypeInteger, unitMillis, 0, 1000, domainLevels, "How long a writer collects intents for one write."},
	{"journal.result_bytes", TypeInteger, unitBytes, 0, 512 << 10, allLevels, "Maximum size of the recorded response to an order."},
	{"membership.heartbeat_ms", TypeInteger, unitMillis, 10, 60_000, domainLevels, "Time between heartbeats."},
	{"membership.fanout", TypeInteger, "routers", 1, 32, domainLevels, "Number of routers to which each heartbeat is sent."},
	{"membership.suspect_ms", TypeInteger, unitMillis, 50, 600_000, domainLevels, "Time without a heartbeat after which a router becomes a suspect."},
	{"membership.remove_ms", TypeInteger, unitMillis, 50, 600_000, domainLevels, "Time from suspicion to removal."},
	{"membership.vm_list_ms", TypeInteger, unitMillis, 50, 600_000, domainLevels, "Time between reads of the platform's VM list."},
	{"withdrawal.kv_bytes_per_second", TypeInteger, "bytes/s", 0, 1e12, serviceLevels, "Maximum rate of KV cache exports from one target; 0 disables exports."},
	{"withdrawal.return_window_ms", TypeInteger, unitMillis, 0, 7 * dayMS, serviceLevels, "Maximum time since the last activity of a chat for its KV cache to be exported."},
	{"withdrawal.limit_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "Maximum duration of a withdrawal; 0 waits for the last request to end."},
	{"stop.ready_delay_ms", TypeInteger, unitMillis, 0, 600_000, domainLevels, "Time between failing readiness and refusing requests."},
	{"stop.limit_ms", TypeInteger, unitMillis, 0, dayMS, domainLevels, "Maximum duration of a planned stop; requests still in flight then are aborted."},
	{"orders.validity_ms", TypeInteger, unitMillis, 1, 600_000, serviceLevels, "How long an order to a target that does not check fencing may be sent after it was decided."},
	{"orders.loads_per_minute", TypeInteger, "loads/min", 0, 1e6, fleetLevels, "Maximum rate of loads through the weight store."},
}

// Keys returns a copy of the table of keys, in the order of the documentation.
func Keys() []Key {
	return append([]Key(nil), table...)
}

// FindKey returns the key with a name such as placement.load_multiple.
func FindKey(name string) (Key, bool) {
	for _, k := range table {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Split returns the key's group and its name within the group.
func (k Key) Split() (group, name string) {
	group, name, _ = strings.Cut(k.Name, ".")
	return group, name
}

// Default returns the key's default value.
func (k Key) Default() json.Number {
	return k.In(Defaults())
}

// In returns the key's value in v.
func (k Key) In(v Values) json.Number {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	var groups map[string]map[string]json.Number
	if json.Unmarshal(data, &groups) != nil {
		return ""
	}
	group, name := k.Split()
	return groups[group][name]
}

// settingsSchema returns the fields of a "settings" object, built from the
// table of keys.
func settingsSchema() []field {
	var groups []string
	members := map[string][]field{}
	for _, k := range table {
		group, name := k.Split()
		if members[group] == nil {
			groups = append(groups, group)
		}
		f := field{name: name, check: number(k.Min, k.Max, k.Type == TypeInteger)}
		members[group] = append(members[group], f)
	}
	fields := make([]field, 0, len(groups))
	for _, group := range groups {
		fields = append(fields, field{name: group, check: object(members[group]...)})
	}
	return fields
}
