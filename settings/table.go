package settings

import (
	"encoding/json"
	"strings"
)

// Level is one level of the settings tree.
type Level string

// The levels, from the one that is overridden to the one that overrides.
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

// Key describes one setting. The table of keys is the only source of the
// checks, of docs/SETTINGS.md and of "ragwort settings explain".
type Key struct {
	// Name is group and key joined by a dot, as in placement.load_multiple.
	Name string
	Type KeyType
	Unit string
	// Min and Max bound the value, both included.
	Min, Max float64
	// Levels are those whose value the router reads for this key. Any level may
	// set any key; levels not listed here only pass the value on.
	Levels []Level
	Effect string
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

var table = []Key{
	{"placement.load_multiple", TypeNumber, "× mean", 1.05, 10, serviceLevels, "Bound on a target's load, as a multiple of the mean load of its service."},
	{"placement.reuse_weight", TypeNumber, unitNone, 0, 1, allLevels, "Trades cache reuse against skew: 0 places by load alone, 1 goes to the chat's context whenever the bound allows."},
	{"placement.prefix_tokens", TypeInteger, "tokens", 0, 1e6, serviceLevels, "Shortest shared prefix that groups chats; 0 turns grouping off."},
	{"placement.join_ramp_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "How long a joining target takes only new chats and overflow."},
	{"placement.flap_window_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "Window in which repeated joins of a target are damped."},
	{"placement.chat_table_entries", TypeInteger, "entries", 0, 1e7, domainLevels, "Bound on the chat table of one home."},
	{"placement.cache_events_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "Time between two readings of an engine's cache events, which correct the chat table and cost about 70 bytes an event; 0 reads none."},
	{"placement.context_ttl_ms", TypeInteger, unitMillis, 0, 7 * dayMS, serviceLevels, "How long a context token is believed."},
	{"limits.requests_per_second", TypeNumber, "requests/s", 0, maxCount, allLevels, "Request rate allowed at the level that sets it; 0 means no limit."},
	{"limits.burst", TypeInteger, "requests", 1, maxCount, allLevels, "Depth of the token bucket."},
	{"limits.concurrency", TypeInteger, "requests", 0, maxCount, allLevels, "Requests in flight allowed at the level that sets it; 0 means no limit."},
	{"limits.weight", TypeNumber, unitNone, 0.01, 1000, allLevels, "Share of the client account in fair queueing."},
	{"limits.priority", TypeInteger, unitNone, 0, 9, allLevels, "Priority in queues and at engines; higher goes first and is shed last."},
	{"limits.body_bytes", TypeInteger, unitBytes, 1024, 4 << 20, allLevels, "Largest request body; larger ones are refused with 413."},
	{"limits.deadline_ms", TypeInteger, unitMillis, 1, dayMS, allLevels, "Deadline of a request that brings none of its own."},
	{"queue.length", TypeInteger, "requests", 0, 1e6, serviceLevels, "Most requests that wait before a service's targets at one home."},
	{"queue.wait_ms", TypeInteger, unitMillis, 0, dayMS, allLevels, "Longest wait before a request is refused with queue-timeout."},
	{"queue.target_in_flight", TypeInteger, "requests", 0, 1e6, serviceLevels, "Most requests in flight before one target; further ones wait at its home in fair order. 0 sets no limit besides the load bound."},
	{"retry.attempts", TypeInteger, "attempts", 1, 10, allLevels, "Most attempts of one request, the first included."},
	{"retry.budget_ratio", TypeNumber, unitNone, 0, 1, serviceLevels, "Bound on retries as a share of requests."},
	{"retry.backoff_ms", TypeInteger, unitMillis, 0, 60_000, serviceLevels, "Mean wait before the second attempt; it doubles with each further one."},
	{"retry.backoff_max_ms", TypeInteger, unitMillis, 0, 600_000, serviceLevels, "Longest mean wait before an attempt."},
	{"journal.shards", TypeInteger, "objects", 1, 4096, fleetLevels, "Number of shards of the journal; it is fixed when the journal is first used."},
	{"journal.retention_ms", TypeInteger, unitMillis, 1000, 30 * dayMS, fleetLevels, "How long an idempotency key is remembered."},
	{"journal.writes_per_second", TypeInteger, "writes/s", 1, 10_000, fleetLevels, "Writes on the platform that the journals of all routers use together."},
	{"journal.batch_ms", TypeInteger, unitMillis, 0, 1000, domainLevels, "How long a writer gathers intents for one write."},
	{"journal.result_bytes", TypeInteger, unitBytes, 0, 512 << 10, allLevels, "Largest recorded answer of an order."},
	{"membership.heartbeat_ms", TypeInteger, unitMillis, 10, 60_000, domainLevels, "Time between heartbeats."},
	{"membership.fanout", TypeInteger, "routers", 1, 32, domainLevels, "Number of routers that each heartbeat goes to."},
	{"membership.suspect_ms", TypeInteger, unitMillis, 50, 600_000, domainLevels, "Silence after which a router is suspected."},
	{"membership.remove_ms", TypeInteger, unitMillis, 50, 600_000, domainLevels, "Time from suspicion to removal."},
	{"membership.vm_list_ms", TypeInteger, unitMillis, 50, 600_000, domainLevels, "Time between reads of the platform's VM list."},
	{"withdrawal.kv_bytes_per_second", TypeInteger, "bytes/s", 0, 1e12, serviceLevels, "Bound on KV cache exported from one target; 0 turns exports off."},
	{"withdrawal.return_window_ms", TypeInteger, unitMillis, 0, 7 * dayMS, serviceLevels, "How recently a chat was seen to be worth exporting."},
	{"withdrawal.limit_ms", TypeInteger, unitMillis, 0, dayMS, serviceLevels, "Longest withdrawal; 0 waits for the last request."},
	{"stop.ready_delay_ms", TypeInteger, unitMillis, 0, 600_000, domainLevels, "Time between failing readiness and refusing requests."},
	{"stop.limit_ms", TypeInteger, unitMillis, 0, dayMS, domainLevels, "Longest planned stop; requests in flight then are cut."},
	{"orders.validity_ms", TypeInteger, unitMillis, 1, 600_000, serviceLevels, "How long an order to a target that does not check fencing may be sent after it was decided."},
	{"orders.loads_per_minute", TypeInteger, "loads/min", 0, 1e6, fleetLevels, "Bound on loads through the weight store."},
}

// Keys returns the table of keys in the order of the documents.
func Keys() []Key {
	return append([]Key(nil), table...)
}

// FindKey returns the description of a key by its name.
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

// Default returns the key's value where no document sets it.
func (k Key) Default() json.Number {
	return k.In(Defaults())
}

// In returns the key's value among v.
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

// settingsFields returns the checks of a "settings" object.
func settingsFields() []field {
	var groups []string
	members := map[string][]field{}
	for _, k := range table {
		group, name := k.Split()
		if members[group] == nil {
			groups = append(groups, group)
		}
		one := field{name: name, check: number(k.Min, k.Max, k.Type == TypeInteger)}
		members[group] = append(members[group], one)
	}
	fields := make([]field, 0, len(groups))
	for _, group := range groups {
		fields = append(fields, field{name: group, check: object(members[group]...)})
	}
	return fields
}
