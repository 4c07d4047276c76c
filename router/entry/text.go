package entry

import (
	"encoding/json"
	"strings"
)

// lengthChunk ends an answer whose tokens were all delivered.
const lengthChunk = `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`

// text is the answer's text as far as it was delivered, from which another
// engine can go on. Events are only kept as they come; read decodes them when
// the text is needed, which is seldom.
type text struct {
	log eventLog
	b   strings.Builder
	// tokens counts the events that carried text.
	tokens int
	// limit is the request's token limit, zero where it has none.
	limit int
	// finished says that the event with the finish reason was delivered.
	finished bool
	// opaque says that the answer is not plain text of one choice, so that no
	// other engine can go on from it.
	opaque bool
}

// chunk is the part of a streamed chat completion that matters here.
type chunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
			Reasoning json.RawMessage `json:"reasoning_content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// add keeps an event.
func (t *text) add(data []byte) {
	t.log.add(data)
}

// read decodes the events kept so far.
func (t *text) read() {
	t.b.Reset()
	t.tokens = 0
	t.log.each(t.decode)
}

func (t *text) decode(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		t.opaque = true
		return
	}
	for _, choice := range c.Choices {
		if choice.Index != 0 || len(choice.Delta.ToolCalls) > 0 || len(choice.Delta.Reasoning) > 0 {
			t.opaque = true
		}
		if choice.Delta.Content != "" {
			t.b.WriteString(choice.Delta.Content)
			t.tokens++
		}
		if choice.FinishReason != nil {
			t.finished = true
		}
	}
}

// over reports whether no token is missing.
func (t *text) over() bool {
	if t.opaque {
		return false
	}
	return t.finished || t.limit > 0 && t.tokens >= t.limit
}

// continued returns the request's body changed so that an engine goes on from
// the text: the text as the beginning of the assistant's message, and the
// token limit less what was delivered. It returns false for requests that
// cannot be continued so.
func continued(body []byte, t *text) ([]byte, bool) {
	if t.opaque {
		return nil, false
	}
	var doc map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(body, &doc) != nil || json.Unmarshal(doc["messages"], &messages) != nil {
		return nil, false
	}
	messages, ok := withPartial(messages, t.b.String())
	if !ok {
		return nil, false
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		lessTokens(doc, name, t.tokens)
	}
	doc["messages"] = mustJSON(messages)
	doc["continue_final_message"] = json.RawMessage("true")
	doc["add_generation_prompt"] = json.RawMessage("false")
	return mustJSON(doc), true
}

type partialMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// withPartial appends the text as the assistant's message, or to it where the
// request itself ends with one.
func withPartial(messages []json.RawMessage, partial string) ([]json.RawMessage, bool) {
	if len(messages) == 0 {
		return nil, false
	}
	last := len(messages) - 1
	var m struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(messages[last], &m) != nil {
		return nil, false
	}
	if m.Role != "assistant" {
		return append(messages, mustJSON(partialMessage{"assistant", partial})), true
	}
	var before string
	if json.Unmarshal(m.Content, &before) != nil {
		return nil, false
	}
	messages[last] = mustJSON(partialMessage{"assistant", before + partial})
	return messages, true
}

func lessTokens(doc map[string]json.RawMessage, name string, used int) {
	var limit int
	if json.Unmarshal(doc[name], &limit) != nil || limit <= 0 {
		return
	}
	doc[name] = mustJSON(max(1, limit-used))
}

// mustJSON encodes values that cannot fail to encode.
func mustJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// tokenLimit reads a chat request's limit on its answer, zero where it has
// none.
func tokenLimit(body []byte) int {
	var limits struct {
		MaxTokens           int `json:"max_tokens"`
		MaxCompletionTokens int `json:"max_completion_tokens"`
	}
	if json.Unmarshal(body, &limits) != nil {
		return 0
	}
	return max(limits.MaxTokens, limits.MaxCompletionTokens)
}
