// Package withdrawal decides how a leaving target is emptied: which chat's KV
// cache is moved next and when, and when the target may go. It is deterministic
// and does no I/O: time is passed in.
package withdrawal

import (
	"cmp"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

// Phase says how far a withdrawal is.
type Phase string

// The phases. A withdrawal that is called off goes back to Serving from any of
// them.
const (
	// Serving means that the target is not leaving.
	Serving Phase = "serving"
	// Emptying means that work is in flight or chats are still to be moved.
	Emptying Phase = "emptying"
	// Empty means that the target may go without cutting anything.
	Empty Phase = "empty"
	// Overdue means that the limit passed with work still in flight.
	Overdue Phase = "overdue"
)

// Chat is one chat on the target.
type Chat struct {
	Key fleet.ChatKey
	// Held is the number of tokens of context.
	Held uint32
	// Seen is when the chat last had an answer.
	Seen time.Time
}

// Status is what is known of a withdrawal.
type Status struct {
	Phase    Phase     `json:"phase" cbor:"1,keyasint"`
	Since    time.Time `json:"since" cbor:"2,keyasint"`
	InFlight int       `json:"in_flight" cbor:"3,keyasint"`
	// Pending counts chats still to be moved, Moved and Failed those done.
	Pending int `json:"pending" cbor:"4,keyasint"`
	Moved   int `json:"moved" cbor:"5,keyasint"`
	Failed  int `json:"failed" cbor:"6,keyasint"`
	// Bytes is the size of what was moved.
	Bytes int64 `json:"bytes" cbor:"7,keyasint"`
}

// Machine is the withdrawal of one target. It is used by one goroutine.
type Machine struct {
	config  settings.Withdrawal
	status  Status
	pending map[fleet.ChatKey]Chat
	// done holds when each chat was seen at the time it was moved.
	done map[fleet.ChatKey]time.Time
	// moving is the chat being moved, if any; stale says that its move began
	// before the withdrawal was called off.
	moving *Chat
	stale  bool
	// known says that the target's chats were told since it began to leave.
	known bool
	// free is when the rate allows the next move.
	free time.Time
}

// New returns the machine of a target that is serving.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.status = Status{Phase: Serving}
	m.pending = map[fleet.ChatKey]Chat{}
	m.done = map[fleet.ChatKey]time.Time{}
	m.stale = m.moving != nil
	m.known = false
}

// Observe takes whether the target is leaving and how much work it has in
// flight. A target that no longer leaves starts anew: what was moved away may
// have been evicted there in the meantime.
func (m *Machine) Observe(now time.Time, leaving bool, inFlight int, config settings.Withdrawal) {
	if !leaving {
		if m.status.Phase != Serving {
			m.reset()
		}
		return
	}
	if m.status.Phase == Serving {
		m.status.Since = now
	}
	m.config = config
	m.status.InFlight = inFlight
	m.status.Phase = m.phase(now)
}

func (m *Machine) phase(now time.Time) Phase {
	idle := m.status.InFlight == 0
	if idle && m.known && len(m.pending) == 0 && m.moving == nil {
		return Empty
	}
	limit := m.config.LimitMS.Duration()
	if limit <= 0 || now.Before(m.status.Since.Add(limit)) {
		return Emptying
	}
	if idle {
		return Empty
	}
	return Overdue
}

// Offer tells which chats the target holds; before the first offer it is not
// empty. A chat that was seen again since it
// was moved is moved again.
func (m *Machine) Offer(now time.Time, chats []Chat) {
	if m.status.Phase == Serving {
		return
	}
	m.known = true
	for _, c := range chats {
		if m.wants(now, c) {
			m.pending[c.Key] = c
		}
	}
	m.status.Phase = m.phase(now)
}

func (m *Machine) wants(now time.Time, c Chat) bool {
	if m.config.KVBytesPerSecond <= 0 || now.Sub(c.Seen) > m.config.ReturnWindowMS.Duration() {
		return false
	}
	if m.moving != nil && !m.stale && m.moving.Key == c.Key && !c.Seen.After(m.moving.Seen) {
		return false
	}
	moved, ok := m.done[c.Key]
	return !ok || c.Seen.After(moved)
}

// Next returns the chat to move now, the one seen last first; false when there
// is none, one is being moved, or the rate does not allow one yet.
func (m *Machine) Next(now time.Time) (Chat, bool) {
	if m.status.Phase != Emptying && m.status.Phase != Overdue || m.moving != nil || now.Before(m.free) {
		return Chat{}, false
	}
	m.dropOld(now)
	if len(m.pending) == 0 {
		return Chat{}, false
	}
	c := m.latest()
	delete(m.pending, c.Key)
	m.moving = &c
	return c, true
}

// dropOld gives up chats that are no longer likely to return.
func (m *Machine) dropOld(now time.Time) {
	for key, c := range m.pending {
		if now.Sub(c.Seen) > m.config.ReturnWindowMS.Duration() {
			delete(m.pending, key)
		}
	}
}

func (m *Machine) latest() Chat {
	chats := make([]Chat, 0, len(m.pending))
	for _, c := range m.pending {
		chats = append(chats, c)
	}
	return slices.MaxFunc(chats, func(a, b Chat) int {
		if c := a.Seen.Compare(b.Seen); c != 0 {
			return c
		}
		return cmp.Compare(a.Key, b.Key)
	})
}

// Moved ends the move of the chat that Next returned, with the number of bytes
// that went out, also of a move that failed. The move is not counted when the
// withdrawal was called off since.
func (m *Machine) Moved(now time.Time, key fleet.ChatKey, bytes int, ok bool) {
	m.charge(now, bytes)
	if m.moving == nil || m.moving.Key != key {
		return
	}
	seen, stale := m.moving.Seen, m.stale
	m.moving, m.stale = nil, false
	if stale {
		return
	}
	m.done[key] = seen
	m.status.Bytes += int64(bytes)
	if ok {
		m.status.Moved++
	} else {
		m.status.Failed++
	}
	m.status.Phase = m.phase(now)
}

// charge sets when the rate allows the next move.
func (m *Machine) charge(now time.Time, bytes int) {
	if m.config.KVBytesPerSecond <= 0 {
		return
	}
	seconds := float64(bytes) / float64(m.config.KVBytesPerSecond)
	m.free = now.Add(time.Duration(seconds * float64(time.Second)))
}

// Status returns what is known.
func (m *Machine) Status() Status {
	s := m.status
	s.Pending = len(m.pending)
	if m.moving != nil {
		s.Pending++
	}
	return s
}
