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

// model is a target and what a right withdrawal may do with it.
type model struct {
	machine  *withdrawal.Machine
	config   settings.Withdrawal
	now      time.Time
	since    time.Time
	leaving  bool
	offered  bool
	inFlight int
	// chats are on the target; moved holds when each was seen as it was moved.
	chats  map[fleet.ChatKey]time.Time
	moved  map[fleet.ChatKey]time.Time
	moving fleet.ChatKey
	busy   bool
	// bytes went out since from.
	bytes int
	from  time.Time
	steps int
}

func newModel(t *rapid.T) *model {
	start := time.Unix(1_000_000, 0)
	return &model{
		machine: withdrawal.New(), now: start, from: start,
		chats: map[fleet.ChatKey]time.Time{}, moved: map[fleet.ChatKey]time.Time{},
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

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	m.observe()
}

func (m *model) toggle(*rapid.T) {
	m.leaving = !m.leaving
	m.since = m.now
	m.offered = false
	m.moved = map[fleet.ChatKey]time.Time{}
	m.observe()
}

func (m *model) work(t *rapid.T) {
	m.inFlight = rapid.IntRange(0, 2).Draw(t, "in flight")
	m.observe()
}

// answer ends an answer of a chat, which the target then holds.
func (m *model) answer(t *rapid.T) {
	m.chats[fleet.ChatKey(rapid.IntRange(1, 6).Draw(t, "chat"))] = m.now
	m.offer(t)
}

func (m *model) offer(*rapid.T) {
	m.offered = m.leaving
	var list []withdrawal.Chat
	for key, seen := range m.chats {
		list = append(list, withdrawal.Chat{Key: key, Seen: seen})
	}
	m.machine.Offer(m.now, list)
}

// due reports whether a chat is to be moved.
func (m *model) due(key fleet.ChatKey) bool {
	seen := m.chats[key]
	moved, ok := m.moved[key]
	return m.now.Sub(seen) <= m.config.ReturnWindowMS.Duration() && (!ok || seen.After(moved))
}

func (m *model) next(t *rapid.T) {
	m.offer(t)
	c, ok := m.machine.Next(m.now)
	if !ok {
		return
	}
	switch {
	case !m.leaving || m.config.KVBytesPerSecond == 0:
		t.Fatal("a chat is moved though none should be")
	case m.busy:
		t.Fatal("two chats are moved at once")
	case !m.due(c.Key):
		t.Fatalf("chat %d is moved without need", c.Key)
	}
	for key := range m.chats {
		if m.due(key) && m.chats[key].After(c.Seen) {
			t.Fatalf("chat %d goes before %d, which was seen later", c.Key, key)
		}
	}
	m.moving, m.busy = c.Key, true
	m.moved[c.Key] = c.Seen
	allowed := m.now.Sub(m.from).Seconds() * float64(m.config.KVBytesPerSecond)
	if float64(m.bytes) > allowed+1 {
		t.Fatalf("%d bytes moved where %f are allowed", m.bytes, allowed)
	}
}

func (m *model) finish(t *rapid.T) {
	if !m.busy {
		return
	}
	size := rapid.IntRange(0, 5000).Draw(t, "bytes")
	m.machine.Moved(m.now, m.moving, size, rapid.Bool().Draw(t, "ok"))
	m.busy = false
	m.bytes += size
}

// late reports whether the limit has passed.
func (m *model) late() bool {
	limit := m.config.LimitMS.Duration()
	return limit > 0 && !m.now.Before(m.since.Add(limit))
}

func (m *model) check(t *rapid.T) {
	m.steps++
	s := m.machine.Status()
	if m.leaving == (s.Phase == withdrawal.Serving) {
		t.Fatalf("leaving %v, phase %s", m.leaving, s.Phase)
	}
	if s.Phase == withdrawal.Empty && m.inFlight > 0 {
		t.Fatal("said to be empty with work in flight")
	}
	if s.Phase == withdrawal.Empty && !m.offered && !m.late() {
		t.Fatal("said to be empty before its chats are known")
	}
	late := m.late()
	if s.Phase == withdrawal.Empty && s.Pending > 0 && !late {
		t.Fatal("said to be empty with chats to move")
	}
	if s.Phase == withdrawal.Overdue && !late {
		t.Fatal("overdue before the limit")
	}
}

// TestMachine compares the machine with the model under work, returning chats,
// failing moves and withdrawals that are called off.
func TestMachine(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": m.wait, "toggle": m.toggle, "work": m.work, "answer": m.answer,
			"next": m.next, "finish": m.finish, "": m.check,
		})
		steps += m.steps
	})
	t.Logf("%d steps", steps)
}

func TestEverythingWorthMovingIsMoved(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	config := settings.Withdrawal{KVBytesPerSecond: 1000, ReturnWindowMS: 60_000}
	m := withdrawal.New()
	m.Observe(now, true, 0, config)
	m.Offer(now, []withdrawal.Chat{
		{Key: 1, Seen: now.Add(-time.Second)}, {Key: 2, Seen: now.Add(-2 * time.Minute)}, {Key: 3, Seen: now},
	})
	var order []fleet.ChatKey
	for range 10 {
		if c, ok := m.Next(now); ok {
			order = append(order, c.Key)
			m.Moved(now, c.Key, 500, true)
		}
		now = now.Add(250 * time.Millisecond)
		m.Observe(now, true, 0, config)
	}
	if len(order) != 2 || order[0] != 3 || order[1] != 1 {
		t.Errorf("moved %v", order)
	}
	if s := m.Status(); s.Phase != withdrawal.Empty || s.Moved != 2 || s.Bytes != 1000 {
		t.Errorf("status %+v", s)
	}
}
