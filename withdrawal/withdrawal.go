// Package withdrawal decides how a leaving target is emptied: which chat's KV
// cache is moved next and when, and when the target may be stopped. It is
// deterministic and does no I/O: time is passed in.
package withdrawal

import (
	"cmp"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

// Phase is the phase of a withdrawal.
type Phase string

// The phases. A withdrawal that is called off returns to Serving from any of
// them.
const (
	// Serving means that the target is not leaving.
	Serving Phase = "serving"
	// Emptying means that requests are in flight or chats are still to be moved.
	Emptying Phase = "emptying"
	// Empty means that the target can be stopped without interrupting a request.
	Empty Phase = "empty"
	// Overdue means that the time limit passed with requests still in flight.
	Overdue Phase = "overdue"
)

// Chat is one chat whose KV cache the target holds.
type Chat struct {
	Key fleet.ChatKey
	// Tokens is the number of context tokens that the target holds.
	Tokens uint32
	// LastSeen is when the chat last had a response.
	LastSeen time.Time
}

// Status describes the progress of a withdrawal.
type Status struct {
	Phase Phase `json:"phase" cbor:"1,keyasint"`
	// Since is when the target began to leave.
	Since    time.Time `json:"since" cbor:"2,keyasint"`
	InFlight int       `json:"in_flight" cbor:"3,keyasint"`
	// Pending counts the chats still to be moved, Moved and Failed the finished
	// moves.
	Pending int `json:"pending" cbor:"4,keyasint"`
	Moved   int `json:"moved" cbor:"5,keyasint"`
	Failed  int `json:"failed" cbor:"6,keyasint"`
	// Bytes is the number of bytes that the finished moves sent.
	Bytes int64 `json:"bytes" cbor:"7,keyasint"`
}

// StateMachine is the state machine of the withdrawal of one target. It is not safe
// for concurrent use.
type StateMachine struct {
	config  settings.Withdrawal
	status  Status
	pending map[fleet.ChatKey]Chat
	// seenAtMove holds, for each chat whose move ended, the LastSeen time at its move.
	seenAtMove map[fleet.ChatKey]time.Time
	// moving is the chat being moved, if any; staleMove means that its move began
	// before the withdrawal was called off.
	moving    *Chat
	staleMove bool
	// chatsOffered means that AddChats was called since the target began to leave.
	chatsOffered bool
	// nextMoveAt is when the rate limit allows the next move.
	nextMoveAt time.Time
}

// New returns a StateMachine for a target that is serving.
func New() *StateMachine {
	m := &StateMachine{}
	m.reset()
	return m
}

func (m *StateMachine) reset() {
	m.status = Status{Phase: Serving}
	m.pending = map[fleet.ChatKey]Chat{}
	m.seenAtMove = map[fleet.ChatKey]time.Time{}
	m.staleMove = m.moving != nil
	m.chatsOffered = false
}

// Observe updates whether the target is leaving, how many requests it has in
// flight, and the settings. If the target no longer leaves, the withdrawal is
// reset and a later one moves all chats again, since the moved ones may have been
// evicted at their destination in the meantime.
func (m *StateMachine) Observe(now time.Time, leaving bool, inFlight int, config settings.Withdrawal) {
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
	m.status.Phase = m.currentPhase(now)
}

func (m *StateMachine) currentPhase(now time.Time) Phase {
	idle := m.status.InFlight == 0
	if idle && m.chatsOffered && len(m.pending) == 0 && m.moving == nil {
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

// AddChats adds the chats that the target holds and that are to be moved. Before the
// first call the phase does not become Empty until the time limit has passed. A
// chat that was seen again since it was moved is moved again.
func (m *StateMachine) AddChats(now time.Time, chats []Chat) {
	if m.status.Phase == Serving {
		return
	}
	m.chatsOffered = true
	for _, c := range chats {
		if m.shouldMove(now, c) {
			m.pending[c.Key] = c
		}
	}
	m.status.Phase = m.currentPhase(now)
}

func (m *StateMachine) shouldMove(now time.Time, c Chat) bool {
	if m.config.KVBytesPerSecond <= 0 || now.Sub(c.LastSeen) > m.config.ReturnWindowMS.Duration() {
		return false
	}
	if m.moving != nil && !m.staleMove && m.moving.Key == c.Key && !c.LastSeen.After(m.moving.LastSeen) {
		return false
	}
	seenAtMove, ok := m.seenAtMove[c.Key]
	return !ok || c.LastSeen.After(seenAtMove)
}

// StartMove starts the move of the most recently seen chat and returns that chat. It
// returns false if there is none, a move is in progress, or the rate limit does
// not allow a move yet.
func (m *StateMachine) StartMove(now time.Time) (Chat, bool) {
	if m.status.Phase != Emptying && m.status.Phase != Overdue || m.moving != nil || now.Before(m.nextMoveAt) {
		return Chat{}, false
	}
	m.dropOutdated(now)
	if len(m.pending) == 0 {
		return Chat{}, false
	}
	c := m.mostRecentChat()
	delete(m.pending, c.Key)
	m.moving = &c
	return c, true
}

// dropOutdated drops chats that are no longer likely to return.
func (m *StateMachine) dropOutdated(now time.Time) {
	for key, c := range m.pending {
		if now.Sub(c.LastSeen) > m.config.ReturnWindowMS.Duration() {
			delete(m.pending, key)
		}
	}
}

func (m *StateMachine) mostRecentChat() Chat {
	chats := make([]Chat, 0, len(m.pending))
	for _, c := range m.pending {
		chats = append(chats, c)
	}
	return slices.MaxFunc(chats, func(a, b Chat) int {
		if c := a.LastSeen.Compare(b.LastSeen); c != 0 {
			return c
		}
		return cmp.Compare(a.Key, b.Key)
	})
}

// FinishMove ends the move of the chat that StartMove returned. bytes is the number of
// bytes that the move sent, even if it failed. The move is not counted if the
// withdrawal was called off since it began.
func (m *StateMachine) FinishMove(now time.Time, key fleet.ChatKey, bytes int, ok bool) {
	m.delayNextMove(now, bytes)
	if m.moving == nil || m.moving.Key != key {
		return
	}
	seen, stale := m.moving.LastSeen, m.staleMove
	m.moving, m.staleMove = nil, false
	if stale {
		return
	}
	m.seenAtMove[key] = seen
	m.status.Bytes += int64(bytes)
	if ok {
		m.status.Moved++
	} else {
		m.status.Failed++
	}
	m.status.Phase = m.currentPhase(now)
}

// delayNextMove sets when the rate limit allows the next move.
func (m *StateMachine) delayNextMove(now time.Time, bytes int) {
	if m.config.KVBytesPerSecond <= 0 {
		return
	}
	seconds := float64(bytes) / float64(m.config.KVBytesPerSecond)
	m.nextMoveAt = now.Add(time.Duration(seconds * float64(time.Second)))
}

// Status returns the progress of the withdrawal. A chat being moved counts as
// pending.
func (m *StateMachine) Status() Status {
	s := m.status
	s.Pending = len(m.pending)
	if m.moving != nil {
		s.Pending++
	}
	return s
}
