package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/measure/bed"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

func init() {
	Register(Scenario{
		Name:     "slopes",
		Summary:  "what a router costs by routers, chats, targets and tokens",
		Policies: []string{"ragwortpond"},
		Run:      runSlopes,
	})
}

const (
	slopeChats           = 400_000
	slopeTargets         = 10_000
	slopeRouters         = 100
	slopeServices        = 36
	slopeChanges         = 5
	slopeNodes           = 101
	slopeUsers           = 48
	slopeAnswerTokens    = 400
	slopeTokensPerSecond = 4000
	slopeStreamWindow    = 6 * time.Second
	slopeInForceTimeout  = 10 * time.Second
)

// slopesFigures are the slopes that docs/CAPACITY.md is worked out from.
type slopesFigures struct {
	// TokensPerCore is streamed tokens through entry and home a second of
	// processor time of the whole process: callers, stand-in engines and
	// platform included, so a lower bound.
	TokensPerCore   float64 `json:"tokens_per_core_second"`
	RequestsPerCore float64 `json:"requests_per_core_second"`
	Tokens          int64   `json:"streamed_tokens"`
	Answers         int64   `json:"streamed_answers"`

	ControlBytes     map[string]float64 `json:"control_bytes_per_router_second"`
	WireBytes        map[string]float64 `json:"wire_bytes_per_router_second"`
	ControlCoreShare map[string]float64 `json:"control_core_share_per_router"`
	ControlHeapBytes map[string]float64 `json:"control_heap_bytes_per_router"`
	StoreCalls       map[string]float64 `json:"store_calls_per_second"`
	MaxSettingsLagMS map[string]float64 `json:"settings_in_force_max_ms"`
	BytesPerChat     float64            `json:"bytes_per_chat"`
	BytesPerTarget   float64            `json:"bytes_per_target"`
	// BytesPerConnection is the heap of one end of a peer connection,
	// HandshakeCoreMS the processor time of both ends to make one, and
	// HandshakeBytes what both ends send for it in its first second.
	BytesPerConnection float64 `json:"bytes_per_connection"`
	HandshakeCoreMS    float64 `json:"handshake_core_ms"`
	HandshakeBytes     float64 `json:"handshake_wire_bytes"`
	// BytesPerMember is the membership table and its view.
	BytesPerMember float64 `json:"bytes_per_member"`
}

var slopeSizes = []controlSize{{6, 12, 2}, {24, 12, 2}, {48, 12, 2}}

func runSlopes(ctx context.Context, o Options) (Report, error) {
	f := slopesFigures{
		ControlBytes: map[string]float64{}, WireBytes: map[string]float64{}, ControlCoreShare: map[string]float64{},
		ControlHeapBytes: map[string]float64{}, StoreCalls: map[string]float64{}, MaxSettingsLagMS: map[string]float64{},
	}
	f.BytesPerChat = bytesPerChat()
	var err error
	if f.BytesPerTarget, err = bytesPerTarget(); err != nil {
		return Report{}, err
	}
	f.BytesPerMember = bytesPerMember()
	if err := f.measureConnections(ctx, o); err != nil {
		return Report{}, err
	}
	for _, size := range slopeSizes {
		if err := f.measureControl(ctx, o, size); err != nil {
			return Report{}, err
		}
	}
	if err := f.measureStreaming(ctx, o); err != nil {
		return Report{}, err
	}
	chart := &Chart{Title: "Control bytes with QUIC a router second"}
	var group Group
	for _, size := range slopeSizes {
		name := fmt.Sprint(size.Routers)
		group.Bars = append(group.Bars, Bar{name + " routers", f.WireBytes[name]})
	}
	chart.Groups = append(chart.Groups, group)
	return Report{Results: []Result{{Policy: "ragwortpond", Figures: f}}, Chart: chart}, nil
}

// control measures the control traffic of one size, then how long changes of
// settings take to be in force on all its routers.
func (f *slopesFigures) measureControl(ctx context.Context, o Options, size controlSize) error {
	fmt.Fprintf(o.Progress, "%d routers\n", size.Routers)
	c, err := startControlFleet(ctx, size, o.Seed, o.Log)
	if err != nil {
		return err
	}
	defer c.close()
	run, err := c.measure(ctx, size)
	if err != nil {
		return err
	}
	key := fmt.Sprint(size.Routers)
	f.ControlBytes[key], f.WireBytes[key] = run.ControlBytes, run.WireBytes
	f.ControlCoreShare[key], f.ControlHeapBytes[key] = run.CoreShare, run.HeapBytes
	f.StoreCalls[key] = run.StoreCalls
	for i := range slopeChanges {
		lag, err := c.measureSettingsLag(ctx, i)
		if err != nil {
			return err
		}
		f.MaxSettingsLagMS[key] = max(f.MaxSettingsLagMS[key], float64(lag)/float64(time.Millisecond))
	}
	return nil
}

// connections measures what peer connections cost: one node calls all others.
func (f *slopesFigures) measureConnections(ctx context.Context, o Options) error {
	c, err := startNodes(slopeNodes, o)
	if err != nil {
		return err
	}
	defer c.close()
	heapBefore, cpuBefore := heapInUseBytes(), processCPUTime()
	for _, n := range c.nodes[1:] {
		err := c.nodes[0].node.Call(ctx, n.self.PeerAddr, peer.MethodStatus, struct{}{}, nil)
		if !errors.Is(err, peer.ErrNoHandler) {
			return fmt.Errorf("call of %s: %w", n.self.ID, err)
		}
	}
	connections := float64(len(c.nodes) - 1)
	f.HandshakeCoreMS = (processCPUTime() - cpuBefore).Seconds() * 1000 / connections
	_ = sleep.For(ctx, time.Second)
	for _, n := range c.nodes {
		f.HandshakeBytes += float64(n.node.WireBytes()) / connections
	}
	f.BytesPerConnection = (heapInUseBytes() - heapBefore) / connections / 2
	return ctx.Err()
}

// startNodes starts peer nodes without anything that uses them.
func startNodes(n int, o Options) (*controlFleet, error) {
	f := &controlFleet{store: standin.NewObjects(standin.ObjectsConfig{}), cancel: func() {}}
	authority, err := keys.NewAuthority("ragwortpond experiment")
	if err != nil {
		return nil, err
	}
	for i := range n {
		node, err := f.newNode(authority, i, o.Seed, o.Log)
		if err != nil {
			f.close()
			return nil, err
		}
		node.node.Start()
	}
	return f, nil
}

// inForce writes one change and returns how long it takes until every router
// has it.
func (f *controlFleet) measureSettingsLag(ctx context.Context, i int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, slopeInForceTimeout)
	defer cancel()
	o, err := f.store.Get(ctx, settings.KindAccounts, controlAccount)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(document{"key_hashes": []string{}, "settings": document{"limits": document{"burst": 100 + i}}})
	if err != nil {
		return 0, err
	}
	start := time.Now()
	version, err := f.store.Put(ctx, o.Kind, o.Name, data, o.Version)
	if err != nil {
		return 0, err
	}
	for _, n := range f.nodes {
		for n.settings.Snapshot().Revision < version {
			if err := sleep.For(ctx, time.Millisecond); err != nil {
				return 0, fmt.Errorf("%s has not version %d: %w", n.self.ID, version, err)
			}
		}
	}
	return time.Since(start), nil
}

// stream measures streamed tokens a second of processor time.
func (f *slopesFigures) measureStreaming(ctx context.Context, o Options) error {
	fmt.Fprintln(o.Progress, "streams")
	b, err := bed.Start(ctx, bed.Config{
		Objects: chatFleetObjects(document{}), RoutersPerDomain: 1, Seed: o.Seed, Log: o.Log,
		Engine: func(c *standin.EngineConfig) { c.TokensPerSecond = slopeTokensPerSecond },
	})
	if err != nil {
		return err
	}
	defer b.Close()
	client := b.NewClient()
	defer client.Close()
	stats := newLoadStats()
	load := startLoadGenerator(ctx, b, client, stats, loadConfig{
		account: quietAccount, service: chatService, users: slopeUsers, chatsPerUser: 1, thinkTime: time.Millisecond,
		messageTokens: 20, maxAnswerTokens: slopeAnswerTokens, maxTurns: 1, seed: o.Seed,
	})
	defer load.stop()
	_ = sleep.For(ctx, time.Second)
	answersBefore, cpuBefore := stats.correct.Load(), processCPUTime()
	_ = sleep.For(ctx, slopeStreamWindow)
	f.Answers = stats.correct.Load() - answersBefore
	cpuSeconds := (processCPUTime() - cpuBefore).Seconds()
	f.Tokens = f.Answers * slopeAnswerTokens
	f.TokensPerCore = ratio(float64(f.Tokens), cpuSeconds)
	f.RequestsPerCore = ratio(float64(f.Answers), cpuSeconds)
	return ctx.Err()
}
