package entry

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fakeHomes plays all homes and engines: it answers as the stand-in engine
// does, with faults drawn at random, and knows what ran.
type fakeHomes struct {
	t    *rapid.T
	held map[fleet.AttemptID][]string
	left int
	ran  int
	// steps counts the attempts and resumptions.
	steps int
}

var refusals = []reason.Code{
	reason.LoadBound, reason.TargetLeaving, reason.HomeUnreachable, reason.TargetDown, reason.TargetRefused,
}

// Forward implements Forwarder.
func (f *fakeHomes) Forward(_ context.Context, _ fleet.Router, fwd *wire.Forward, sink wire.Sink) wire.End {
	f.steps++
	tokens, ok := f.held[fwd.Attempt]
	if fwd.Resume && !ok {
		return wire.Refused(reason.TargetRefused, wire.Hint{})
	}
	if code := rapid.SampledFrom(append(refusals, "", "", "", "", "")).Draw(f.t, "refusal"); code != "" {
		if code == reason.TargetRefused {
			f.left++
		}
		return wire.Refused(code, wire.Hint{})
	}
	if !fwd.Resume {
		f.left++
		if rapid.IntRange(0, 9).Draw(f.t, "lost before it ran") == 0 {
			return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
		}
		f.ran++
		tokens = run(fwd.Body)
		f.held[fwd.Attempt] = tokens
	}
	if rapid.IntRange(0, 9).Draw(f.t, "crossed") == 0 {
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerMismatch}
	}
	if !fwd.Stream {
		return f.whole(tokens, sink)
	}
	return f.stream(fwd, tokens, sink)
}

func run(body []byte) []string {
	var chat struct {
		Messages  []standin.Message `json:"messages"`
		MaxTokens int               `json:"max_tokens"`
	}
	if err := json.Unmarshal(body, &chat); err != nil {
		panic(err)
	}
	return standin.Answer(chat.Messages, chat.MaxTokens)
}

func (f *fakeHomes) whole(tokens []string, sink wire.Sink) wire.End {
	if rapid.IntRange(0, 3).Draw(f.t, "truncated") == 0 {
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	}
	_ = sink.Head(wire.Head{Status: 200})
	if sink.Event(0, mustJSON(strings.Join(tokens, ""))) != nil {
		return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
	}
	return wire.End{Outcome: outcome.Answered}
}

// stream sends events, some twice, and may stop at any of them.
func (f *fakeHomes) stream(fwd *wire.Forward, tokens []string, sink wire.Sink) wire.End {
	_ = sink.Head(wire.Head{Status: 200})
	events := len(tokens) + 1
	stop := rapid.IntRange(0, 2*events).Draw(f.t, "stop")
	for seq := int(fwd.ResumeFrom); seq <= events; seq++ {
		if seq == stop {
			code := rapid.SampledFrom([]reason.Code{reason.StreamBroken, reason.AnswerTruncated, reason.HomeUnreachable})
			return wire.End{Outcome: outcome.Dispatched, Reason: code.Draw(f.t, "end")}
		}
		if seq == events {
			break
		}
		data := []byte(lengthChunk)
		if seq < len(tokens) {
			data = []byte(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q}}]}`, tokens[seq]))
		}
		for range 1 + rapid.IntRange(0, 5).Draw(f.t, "twice")/5 {
			if sink.Event(uint64(seq), data) != nil {
				return wire.End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}
			}
		}
	}
	return wire.End{Outcome: outcome.Answered}
}

// Notify implements Notifier.
func (f *fakeHomes) Notify(fleet.Router, placement.ChatNote) {}

// callerSink is the caller: it wants one head and numbers without a break.
type callerSink struct {
	t      *rapid.T
	heads  int
	events uint64
	text   string
	// finished says that the event with the finish reason has come.
	finished bool
}

func (c *callerSink) Head(wire.Head) error {
	c.heads++
	return nil
}

func (c *callerSink) Event(seq uint64, data []byte) error {
	if seq != c.events || c.heads != 1 {
		c.t.Fatalf("event %d where %d was due, after %d heads", seq, c.events, c.heads)
	}
	c.events++
	var whole string
	var part chunk
	switch {
	case json.Unmarshal(data, &whole) == nil:
		c.text += whole
	case json.Unmarshal(data, &part) == nil:
		if c.finished {
			c.t.Fatal("an event after the finish reason")
		}
		c.finished = part.Choices[0].FinishReason != nil
		c.text += part.Choices[0].Delta.Content
	}
	return nil
}

func (c *callerSink) Flush() error { return nil }

func newTestEntry(f *fakeHomes) *Entry {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	var all []fleet.Target
	for i := range 6 {
		all = append(all, fleet.Target{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "s", Kind: fleet.KindEngine})
	}
	snapshot := &settings.Snapshot{Targets: map[fleet.ServiceName][]fleet.Target{"s": all}}
	self := fleet.Router{ID: "r"}
	view := &membership.View{Routers: []fleet.Router{self}}
	return New(Config{
		Self: self, Snapshot: func() *settings.Snapshot { return snapshot }, Forwarder: f, Notifier: f,
		Targets: targets.New(targets.Config{
			Self: self, Snapshot: func() *settings.Snapshot { return snapshot },
			View: func() *membership.View { return view }, Clock: clock,
		}),
		Clock: clock, Random: func() uint64 { return 1 }, Metrics: metrics.NewSet(),
	})
}

// TestAnswersAreWholeOrToldOtherwise fuzzes the path from the caller to the
// homes and back against what the engines must have said.
func TestAnswersAreWholeOrToldOtherwise(t *testing.T) {
	steps, completed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeHomes{t: t}
		e := newTestEntry(f)
		values := settings.Defaults()
		values.Retry.BackoffMS = 0
		for i := range rapid.IntRange(1, 8).Draw(t, "requests") {
			f.held, f.left, f.ran = map[fleet.AttemptID][]string{}, 0, 0
			messages := []standin.Message{{Role: "user", Content: fmt.Sprint("question ", i)}}
			limit := rapid.IntRange(0, 20).Draw(t, "limit")
			body := mustJSON(map[string]any{"messages": messages, "max_tokens": limit})
			req := &Request{
				ID: "r", Service: "s", Kind: fleet.KindEngine, Values: &values, Chat: 5, Body: body,
				Stream: rapid.Bool().Draw(t, "stream"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			}
			out := &callerSink{t: t}
			result := e.run(t.Context(), req, out)
			want := strings.Join(standin.Answer(messages, limit), "")
			check(t, f, req, result, out, want)
			if result.Whole() {
				completed++
			}
		}
		steps += f.steps
	})
	t.Logf("%d steps, %d answers completed", steps, completed)
}

func check(t *rapid.T, f *fakeHomes, req *Request, result Result, out *callerSink, want string) {
	if !strings.HasPrefix(want, out.text) {
		t.Fatalf("the caller has %q of %q", out.text, want)
	}
	if result.Whole() && out.text != want {
		t.Fatalf("passed as whole: %q of %q", out.text, want)
	}
	if req.Stream && result.Whole() && !out.finished {
		t.Fatal("passed as whole without a finish reason")
	}
	if result.Outcome.Word() == outcome.NotRun && f.ran > 0 {
		t.Fatal("told not-run, but it ran")
	}
	if !req.Repeatable && f.left > 1 {
		t.Fatal("a non-repeatable request left twice")
	}
	if !result.Whole() && result.Reason == reason.None {
		t.Fatal("not whole and no reason")
	}
}

func TestContinuedBody(t *testing.T) {
	var plain, tools text
	plain.add([]byte(`{"choices":[{"index":0,"delta":{"content":"a b"}}]}`))
	tools.add([]byte(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}`))
	body := []byte(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"q"}],"temperature":0.5}`)
	plain.read()
	tools.read()
	got, ok := continued(body, &plain)
	if !ok {
		t.Fatal("not continued")
	}
	want := `{"add_generation_prompt":false,"continue_final_message":true,"max_tokens":4,` +
		`"messages":[{"role":"user","content":"q"},{"role":"assistant","content":"a b"}],"model":"m","temperature":0.5}`
	if string(got) != want {
		t.Errorf("got %s", got)
	}
	if _, ok := continued(body, &tools); ok {
		t.Error("tool calls were continued as text")
	}
	parts := []byte(`{"messages":[{"role":"assistant","content":[{"type":"text"}]}]}`)
	if _, ok := continued(parts, &plain); ok {
		t.Error("a message in parts was continued as text")
	}
}

func TestEventLogKeepsEveryEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOf(rapid.StringMatching(`(abc){0,3}[ab]{0,4}(cba){0,3}`)).Draw(t, "events")
		var log eventLog
		for _, e := range events {
			log.add([]byte(e))
		}
		var got []string
		log.each(func(data []byte) { got = append(got, string(data)) })
		if !slices.Equal(got, events) {
			t.Fatalf("got %q", got)
		}
	})
}
