package withdrawal_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/withdrawal"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// model is a target and the moves that a correct withdrawal may make.
type model struct {
	machine      *withdrawal.StateMachine
	config       settings.Withdrawal
	now          time.Time
	leavingSince time.Time
	leaving      bool
	offered      bool
	inFlight     int
	// chats holds when each chat on the target was last seen, seenAtMove when it
	// was last seen at its move.
	chats       map[fleet.ChatKey]time.Time
	seenAtMove  map[fleet.ChatKey]time.Time
	moving      fleet.ChatKey
	moveRunning bool
	// bytes is the number of bytes sent by moves since start.
	bytes int
	start time.Time
	steps int
}

func newModel(t *rapid.T) *model {
	start := time.Unix(1_000_000, 0)
	return &model{
		machine: withdrawal.New(), now: start, start: start,
		chats: map[fleet.ChatKey]time.Time{}, seenAtMove: map[fleet.ChatKey]time.Time{},
		config: settings.Withdrawal{
			KVBytesPerSecond: rapid.IntRange(0, 3).Draw(t, "rate") * 1000,
			ReturnWindowMS:   settings.Millis(rapid.IntRange(1_000, 20_000).Draw(t, "window")),
			LimitMS:          settings.Millis(rapid.SampledFrom([]int{0, 5_000}).Draw(t, "limit")),
		},
	}
}

func (m *model) observe() {
	m.machine.Observe(m.now, m.leaving, m.inFlight, m.config)
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	m.observe()
}

func (m *model) toggleLeaving(*rapid.T) {
	m.leaving = !m.leaving
	m.leavingSince = m.now
	m.offered = false
	m.seenAtMove = map[fleet.ChatKey]time.Time{}
	m.observe()
}

func (m *model) changeInFlight(t *rapid.T) {
	m.inFlight = rapid.IntRange(0, 2).Draw(t, "in flight")
	m.observe()
}

// recordResponse ends a response of a chat, which the target then holds.
func (m *model) recordResponse(t *rapid.T) {
	m.chats[fleet.ChatKey(rapid.IntRange(1, 6).Draw(t, "chat"))] = m.now
	m.offerChats(t)
}

func (m *model) offerChats(*rapid.T) {
	m.offered = m.leaving
	var list []withdrawal.Chat
	for key, seen := range m.chats {
		list = append(list, withdrawal.Chat{Key: key, LastSeen: seen})
	}
	m.machine.AddChats(m.now, list)
}

// shouldMove reports whether a chat is to be moved.
func (m *model) shouldMove(key fleet.ChatKey) bool {
	seen := m.chats[key]
	seenAtMove, ok := m.seenAtMove[key]
	return m.now.Sub(seen) <= m.config.ReturnWindowMS.Duration() && (!ok || seen.After(seenAtMove))
}

func (m *model) startMove(t *rapid.T) {
	m.offerChats(t)
	c, ok := m.machine.StartMove(m.now)
	if !ok {
		return
	}
	switch {
	case !m.leaving || m.config.KVBytesPerSecond == 0:
		t.Fatal("got a chat to move, want none: the target is not leaving or the rate is 0")
	case m.moveRunning:
		t.Fatal("got a second chat to move during a move, want one at a time")
	case !m.shouldMove(c.Key):
		t.Fatalf("got chat %d to move, which was moved before or is unlikely to return", c.Key)
	}
	for key := range m.chats {
		if m.shouldMove(key) && m.chats[key].After(c.LastSeen) {
			t.Fatalf("got chat %d to move, want chat %d first, which was seen later", c.Key, key)
		}
	}
	m.moving, m.moveRunning = c.Key, true
	m.seenAtMove[c.Key] = c.LastSeen
	allowed := m.now.Sub(m.start).Seconds() * float64(m.config.KVBytesPerSecond)
	if float64(m.bytes) > allowed+1 {
		t.Fatalf("got %d bytes moved, want at most %f", m.bytes, allowed)
	}
}

func (m *model) finishMove(t *rapid.T) {
	if !m.moveRunning {
		return
	}
	size := rapid.IntRange(0, 5000).Draw(t, "bytes")
	m.machine.FinishMove(m.now, m.moving, size, rapid.Bool().Draw(t, "ok"))
	m.moveRunning = false
	m.bytes += size
}

// limitPassed reports whether the time limit has passed.
func (m *model) limitPassed() bool {
	limit := m.config.LimitMS.Duration()
	return limit > 0 && !m.now.Before(m.leavingSince.Add(limit))
}

func (m *model) check(t *rapid.T) {
	m.steps++
	s := m.machine.Status()
	if m.leaving == (s.Phase == withdrawal.Serving) {
		t.Fatalf("got leaving %v with phase %s, want serving if and only if not leaving", m.leaving, s.Phase)
	}
	if s.Phase == withdrawal.Empty && m.inFlight > 0 {
		t.Fatal("got phase empty with requests in flight")
	}
	if s.Phase == withdrawal.Empty && !m.offered && !m.limitPassed() {
		t.Fatal("got phase empty before the chats were offered")
	}
	limitPassed := m.limitPassed()
	if s.Phase == withdrawal.Empty && s.Pending > 0 && !limitPassed {
		t.Fatal("got phase empty with chats to move before the time limit")
	}
	if s.Phase == withdrawal.Overdue && !limitPassed {
		t.Fatal("got phase overdue before the time limit")
	}
}

// TestMachineMatchesModel compares the machine with the model in random runs with
// requests in flight, returning chats, failed moves and withdrawals that are
// called off.
func TestMachineMatchesModel(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.advanceTime, "toggle": m.toggleLeaving, "work": m.changeInFlight, "answer": m.recordResponse,
			"next": m.startMove, "finish": m.finishMove, "": m.check,
		})
		steps += m.steps
	})
	t.Logf("%d steps", steps)
}

// Guards against leaving chats behind that are likely to return, and against
// moving one that is not. Of the three chats, the second was last seen before the
// return window.
func TestMovesReturningChatsMostRecentFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	config := settings.Withdrawal{KVBytesPerSecond: 1000, ReturnWindowMS: 60_000}
	m := withdrawal.New()
	m.Observe(now, true, 0, config)
	m.AddChats(now, []withdrawal.Chat{
		{Key: 1, LastSeen: now.Add(-time.Second)}, {Key: 2, LastSeen: now.Add(-2 * time.Minute)}, {Key: 3, LastSeen: now},
	})
	var order []fleet.ChatKey
	for range 10 {
		if c, ok := m.StartMove(now); ok {
			order = append(order, c.Key)
			m.FinishMove(now, c.Key, 500, true)
		}
		now = now.Add(250 * time.Millisecond)
		m.Observe(now, true, 0, config)
	}
	if len(order) != 2 || order[0] != 3 || order[1] != 1 {
		t.Errorf("got moves of chats %v, want [3 1]", order)
	}
	if s := m.Status(); s.Phase != withdrawal.Empty || s.Moved != 2 || s.Bytes != 1000 {
		t.Errorf("got status %+v, want empty with 2 moves and 1000 bytes", s)
	}
}
