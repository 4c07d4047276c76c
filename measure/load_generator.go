package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

// loadConfig configures simulated users whose chats pause and return.
type loadConfig struct {
	account fleet.AccountName
	service fleet.ServiceName
	// users is the number of concurrent users. Each has chatsPerUser chats and
	// continues one of them at random after a pause of mean length thinkTime.
	users, chatsPerUser int
	thinkTime           time.Duration
	// sharedPrompts is the number of shared system prompts of sharedPromptTokens
	// tokens each. A chat begins with one of them with probability
	// sharedPromptShare.
	sharedPrompts, sharedPromptTokens int
	sharedPromptShare                 float64
	// messageTokens is the length of a user's message, maxAnswerTokens the maximum
	// length of an answer.
	messageTokens, maxAnswerTokens int
	// contextTokenShare is the share of chats that send the context token.
	contextTokenShare float64
	// maxTurns is the number of turns after which a new chat replaces a chat.
	maxTurns int
	seed     uint64
}

// loadStats counts the requests of load generators and their results. It is safe
// for concurrent use.
type loadStats struct {
	requests, correct, incorrect, lost, refused atomic.Int64
	// promptTokens counts the tokens of all prompts, reusableTokens those that an
	// engine had processed or generated before.
	promptTokens, reusableTokens atomic.Int64

	mu              sync.Mutex
	reasons         map[reason.Code]int
	firstByteMS     []float64
	answeredPrompts map[int]bool
}

// loadGenerator runs simulated users that send chat messages.
type loadGenerator struct {
	cfg     loadConfig
	testbed *testbed.Testbed
	client  *testbed.Client
	stats   *loadStats
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

// startLoadGenerator starts the users. The caller must call stop.
func startLoadGenerator(ctx context.Context, b *testbed.Testbed, client *testbed.Client, stats *loadStats, cfg loadConfig) *loadGenerator {
	g := &loadGenerator{cfg: cfg, testbed: b, client: client, stats: stats}
	ctx, g.cancel = context.WithCancel(ctx)
	for i := range cfg.users {
		g.wg.Go(func() { g.runUser(ctx, i) })
	}
	return g
}

// stop stops the users and waits until their requests in flight have ended.
func (g *loadGenerator) stop() {
	g.cancel()
	g.wg.Wait()
}

// chatState is one chat of a user. sharedPrompt is the index of its shared system
// prompt, or -1.
type chatState struct {
	chat              *testbed.Chat
	sharedPrompt      int
	sendsContextToken bool
}

func (g *loadGenerator) runUser(ctx context.Context, user int) {
	rng := rand.New(rand.NewPCG(g.cfg.seed, uint64(user)))
	chats := make([]*chatState, g.cfg.chatsPerUser)
	_ = sleep.For(ctx, time.Duration(rng.Float64()*float64(g.cfg.thinkTime)))
	for turn := 0; ctx.Err() == nil; turn++ {
		i := rng.IntN(len(chats))
		if chats[i] == nil || len(chats[i].chat.Messages) >= 2*g.cfg.maxTurns {
			chats[i] = g.newChat(rng, fmt.Sprintf("%s-%d-%d", g.cfg.account, user, turn))
		}
		g.sendMessage(chats[i], rng)
		_ = sleep.For(ctx, time.Duration(rng.ExpFloat64()*float64(g.cfg.thinkTime)))
	}
}

func (g *loadGenerator) newChat(rng *rand.Rand, id string) *chatState {
	state := &chatState{
		chat:              &testbed.Chat{ID: id, Account: g.cfg.account, Service: g.cfg.service},
		sharedPrompt:      -1,
		sendsContextToken: rng.Float64() < g.cfg.contextTokenShare,
	}
	if g.cfg.sharedPrompts > 0 && rng.Float64() < g.cfg.sharedPromptShare {
		state.sharedPrompt = rng.IntN(g.cfg.sharedPrompts)
		state.chat.Messages = append(state.chat.Messages, sharedPromptMessage(state.sharedPrompt, g.cfg.sharedPromptTokens))
	}
	return state
}

// sendMessage sends the next message through a random router and counts the
// answer. It does not use the generator's context, so that stop does not cancel
// requests in flight.
func (g *loadGenerator) sendMessage(state *chatState, rng *rand.Rand) {
	if !state.sendsContextToken {
		state.chat.Context = ""
	}
	routers := runningRouters(g.testbed)
	router := routers[rng.IntN(len(routers))]
	text := randomWords(rng, g.cfg.messageTokens)
	g.stats.recordRequest(state, g.cfg.messageTokens)
	answer, err := g.client.SendMessage(context.Background(), router, state.chat, text, g.cfg.maxAnswerTokens)
	g.stats.recordAnswer(state, answer, err)
}

func runningRouters(b *testbed.Testbed) []*testbed.RunningRouter {
	var members []*testbed.RunningRouter
	for _, m := range b.Routers() {
		if m.Running() {
			members = append(members, m)
		}
	}
	return members
}

func newLoadStats() *loadStats {
	return &loadStats{reasons: map[reason.Code]int{}, answeredPrompts: map[int]bool{}}
}

// recordRequest counts the tokens of a prompt and those of them that an engine has
// processed before: all but the new message if the chat had an answer, or the
// shared prompt of a new chat if it was part of an answered request.
func (s *loadStats) recordRequest(state *chatState, messageTokens int) {
	priorTokens := chatTokens(state.chat.Messages)
	s.requests.Add(1)
	s.promptTokens.Add(int64(priorTokens + messageTokens + 1))
	if len(state.chat.Messages) > 1 || s.promptAnswered(state.sharedPrompt) {
		s.reusableTokens.Add(int64(priorTokens))
	}
}

// resetFirstByte discards the times to the first byte recorded so far.
func (s *loadStats) resetFirstByte() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstByteMS = nil
}

// chatTokens returns the number of tokens of messages, counted as the stand-in
// engines count them.
func chatTokens(messages []standin.Message) int {
	tokens := 0
	for _, m := range messages {
		tokens += len(strings.Fields(m.Content)) + 1
	}
	return tokens
}

func (s *loadStats) promptAnswered(prompt int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return prompt >= 0 && s.answeredPrompts[prompt]
}

func (s *loadStats) recordAnswer(state *chatState, answer testbed.Answer, err error) {
	switch {
	case err == nil && answer.Correct:
		s.correct.Add(1)
	case err == nil && answer.Complete:
		s.incorrect.Add(1)
	case err == nil && answer.Refused():
		s.refused.Add(1)
	default:
		s.lost.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.Reason != reason.None {
		s.reasons[answer.Reason]++
	}
	if answer.Correct {
		s.firstByteMS = append(s.firstByteMS, float64(answer.FirstByte)/float64(time.Millisecond))
		if state.sharedPrompt >= 0 {
			s.answeredPrompts[state.sharedPrompt] = true
		}
	}
}

func sharedPromptMessage(prompt, tokens int) standin.Message {
	rng := rand.New(rand.NewPCG(0x5eed, uint64(prompt)))
	return standin.Message{Role: "system", Content: randomWords(rng, tokens)}
}

func randomWords(rng *rand.Rand, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "w%05x", rng.IntN(1<<20))
	}
	return b.String()
}
