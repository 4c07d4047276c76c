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
	"ragwortpond.example/ragwortpond/measure/bed"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

// crowdConfig describes users who keep up chats that go quiet and come back.
type crowdConfig struct {
	account fleet.AccountName
	service fleet.ServiceName
	// users talk at once; each has chats of its own and goes back to one of
	// them at random after a pause of mean length think.
	users, chats int
	think        time.Duration
	// sheets is the number of shared system prompts of sheetTokens tokens; a
	// chat begins with one of them with probability sheetShare.
	sheets, sheetTokens int
	sheetShare          float64
	// sayTokens is the length of a user's message, answerTokens the most of an
	// answer.
	sayTokens, answerTokens int
	// tokenShare of the chats bring the context token along.
	tokenShare float64
	// renewAfter is how many turns a chat has before a new one takes its place.
	renewAfter int
	seed       uint64
}

// tally is what a crowd saw.
type tally struct {
	requests, whole, wrong, lost, refused atomic.Int64
	// promptTokens counts the tokens of all prompts, reusable those that some
	// engine had read or written before.
	promptTokens, reusable atomic.Int64

	mu       sync.Mutex
	reasons  map[reason.Code]int
	firstMS  []float64
	sheetHad map[int]bool
}

// crowd is a running crowd.
type crowd struct {
	cfg    crowdConfig
	bed    *bed.Bed
	client *bed.Client
	tally  *tally
	wait   sync.WaitGroup
	cancel context.CancelFunc
}

// startCrowd sets the users going until stop.
func startCrowd(ctx context.Context, b *bed.Bed, client *bed.Client, t *tally, cfg crowdConfig) *crowd {
	c := &crowd{cfg: cfg, bed: b, client: client, tally: t}
	ctx, c.cancel = context.WithCancel(ctx)
	for i := range cfg.users {
		c.wait.Go(func() { c.user(ctx, i) })
	}
	return c
}

// stop lets every user finish the message under way and waits for them.
func (c *crowd) stop() {
	c.cancel()
	c.wait.Wait()
}

// conversation is one chat of a user.
type conversation struct {
	chat      *bed.Chat
	sheet     int
	withToken bool
}

func (c *crowd) user(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.cfg.seed, uint64(number)))
	chats := make([]*conversation, c.cfg.chats)
	_ = sleep.For(ctx, time.Duration(rng.Float64()*float64(c.cfg.think)))
	for turn := 0; ctx.Err() == nil; turn++ {
		i := rng.IntN(len(chats))
		if chats[i] == nil || len(chats[i].chat.Messages) >= 2*c.cfg.renewAfter {
			chats[i] = c.begin(rng, fmt.Sprintf("%s-%d-%d", c.cfg.account, number, turn))
		}
		c.say(chats[i], rng)
		_ = sleep.For(ctx, time.Duration(rng.ExpFloat64()*float64(c.cfg.think)))
	}
}

func (c *crowd) begin(rng *rand.Rand, id string) *conversation {
	conv := &conversation{
		chat:      &bed.Chat{ID: id, Account: c.cfg.account, Service: c.cfg.service},
		sheet:     -1,
		withToken: rng.Float64() < c.cfg.tokenShare,
	}
	if c.cfg.sheets > 0 && rng.Float64() < c.cfg.sheetShare {
		conv.sheet = rng.IntN(c.cfg.sheets)
		conv.chat.Messages = append(conv.chat.Messages, sheetMessage(conv.sheet, c.cfg.sheetTokens))
	}
	return conv
}

// say sends the next message through a router at random and counts the answer.
// It does not stop with the crowd, so that no request is cut.
func (c *crowd) say(conv *conversation, rng *rand.Rand) {
	if !conv.withToken {
		conv.chat.Context = ""
	}
	routers := running(c.bed)
	router := routers[rng.IntN(len(routers))]
	text := words(rng, c.cfg.sayTokens)
	c.tally.before(conv, c.cfg.sayTokens)
	answer, err := c.client.Say(context.Background(), router, conv.chat, text, c.cfg.answerTokens)
	c.tally.after(conv, answer, err)
}

func running(b *bed.Bed) []*bed.Member {
	var members []*bed.Member
	for _, m := range b.Members() {
		if m.Running() {
			members = append(members, m)
		}
	}
	return members
}

func newTally() *tally {
	return &tally{reasons: map[reason.Code]int{}, sheetHad: map[int]bool{}}
}

// before counts the prompt and the part of it that was read before: all but
// the new message of a chat that had an answer, or the sheet of a new chat.
func (t *tally) before(conv *conversation, sayTokens int) {
	held := heldTokens(conv.chat.Messages)
	t.requests.Add(1)
	t.promptTokens.Add(int64(held + sayTokens + 1))
	if len(conv.chat.Messages) > 1 || t.hadSheet(conv.sheet) {
		t.reusable.Add(int64(held))
	}
}

// restart forgets the times to the first byte so far.
func (t *tally) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstMS = nil
}

// heldTokens counts the tokens of a chat as the stand-in engines do.
func heldTokens(messages []standin.Message) int {
	held := 0
	for _, m := range messages {
		held += len(strings.Fields(m.Content)) + 1
	}
	return held
}

func (t *tally) hadSheet(sheet int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sheet >= 0 && t.sheetHad[sheet]
}

func (t *tally) after(conv *conversation, a bed.Answer, err error) {
	switch {
	case err == nil && a.Right:
		t.whole.Add(1)
	case err == nil && a.Whole:
		t.wrong.Add(1)
	case err == nil && a.Refused():
		t.refused.Add(1)
	default:
		t.lost.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Reason != reason.None {
		t.reasons[a.Reason]++
	}
	if a.Right {
		t.firstMS = append(t.firstMS, float64(a.FirstByte)/float64(time.Millisecond))
		if conv.sheet >= 0 {
			t.sheetHad[conv.sheet] = true
		}
	}
}

func sheetMessage(sheet, tokens int) standin.Message {
	rng := rand.New(rand.NewPCG(0x5eed, uint64(sheet)))
	return standin.Message{Role: "system", Content: words(rng, tokens)}
}

func words(rng *rand.Rand, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "w%05x", rng.IntN(1<<20))
	}
	return b.String()
}
