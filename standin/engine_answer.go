package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an answer's natural length in tokens.
const (
	shortestAnswer = 16
	answerSpread   = 48
	longestAnswer  = 4096
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer returns the tokens that every stand-in engine generates for messages:
// a function of the messages and of maxTokens alone, where zero means no limit.
// When the last message is the assistant's, it is taken as the beginning of the
// answer and the tokens after it are returned.
func Answer(messages []Message, maxTokens int) []string {
	done := 0
	if n := len(messages); n > 0 && messages[n-1].Role == "assistant" {
		done = countTokens(messages[n-1].Content)
		messages = messages[:n-1]
	}
	seed := promptHash(messages)
	length := naturalLength(messages, seed)
	end := length
	if maxTokens > 0 {
		end = min(length, done+maxTokens)
	}
	var tokens []string
	for i := done; i < end; i++ {
		tokens = append(tokens, token(seed, i))
	}
	return tokens
}

// natural reports whether an answer that has grown to done tokens is at its
// natural end.
func natural(messages []Message, done int) bool {
	if n := len(messages); n > 0 && messages[n-1].Role == "assistant" {
		messages = messages[:n-1]
	}
	return done >= naturalLength(messages, promptHash(messages))
}

// naturalLength is the length of a whole answer in tokens: what the last
// message asks for with "write N tokens", else a function of the prompt.
func naturalLength(messages []Message, seed uint64) int {
	var asked int
	if n := len(messages); n > 0 {
		if _, err := fmt.Sscanf(messages[n-1].Content, "write %d tokens", &asked); err == nil && asked > 0 {
			return min(asked, longestAnswer)
		}
	}
	return shortestAnswer + int(seed%answerSpread)
}

func countTokens(text string) int {
	return len(strings.Fields(text))
}

func token(seed uint64, i int) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], seed)
	binary.BigEndian.PutUint64(b[8:], uint64(i))
	return fmt.Sprintf(" w%06x", xxhash.Sum64(b[:])&0xffffff)
}

func promptHash(messages []Message) uint64 {
	chain := chainOf(messages)
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1].hash
}

// link is one message of a prompt, hashed with all before it.
type link struct {
	hash   uint64
	tokens int
}

func chainOf(messages []Message) []link {
	links := make([]link, 0, len(messages))
	var before uint64
	for _, m := range messages {
		words := strings.Fields(m.Content)
		h := xxhash.New()
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], before)
		_, _ = h.Write(b[:])
		_, _ = h.WriteString(m.Role + "\x00" + strings.Join(words, " "))
		before = h.Sum64()
		links = append(links, link{hash: before, tokens: len(words) + 1})
	}
	return links
}
