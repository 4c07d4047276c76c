package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an answer's natural length in tokens. Without an explicit request
// for a length, it is from minAnswerTokens to
// minAnswerTokens+answerTokensRange-1; maxAnswerTokens limits an explicit one.
const (
	minAnswerTokens   = 16
	answerTokensRange = 48
	maxAnswerTokens   = 4096
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer returns the tokens that every stand-in engine generates for messages.
// The result depends on messages and maxTokens only; a maxTokens of zero means no
// limit. If the last message has the role "assistant", it is the beginning of the
// answer, and only the tokens that follow it are returned.
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

// isComplete reports whether an answer of done tokens has reached its natural
// length.
func isComplete(messages []Message, done int) bool {
	if n := len(messages); n > 0 && messages[n-1].Role == "assistant" {
		messages = messages[:n-1]
	}
	return done >= naturalLength(messages, promptHash(messages))
}

// naturalLength returns the length of a complete answer in tokens: N if the last
// message is "write N tokens", otherwise a value derived from the prompt hash.
func naturalLength(messages []Message, seed uint64) int {
	var requested int
	if n := len(messages); n > 0 {
		if _, err := fmt.Sscanf(messages[n-1].Content, "write %d tokens", &requested); err == nil && requested > 0 {
			return min(requested, maxAnswerTokens)
		}
	}
	return minAnswerTokens + int(seed%answerTokensRange)
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
	chain := hashChain(messages)
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1].hash
}

// link is one message of a prompt with the hash of the prompt up to and including
// this message.
type link struct {
	hash   uint64
	tokens int
}

// hashChain returns one link for each message; two prompts have the same leading
// links as far as their messages agree.
func hashChain(messages []Message) []link {
	links := make([]link, 0, len(messages))
	var previous uint64
	for _, m := range messages {
		words := strings.Fields(m.Content)
		h := xxhash.New()
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], previous)
		_, _ = h.Write(b[:])
		_, _ = h.WriteString(m.Role + "\x00" + strings.Join(words, " "))
		previous = h.Sum64()
		links = append(links, link{hash: previous, tokens: len(words) + 1})
	}
	return links
}
