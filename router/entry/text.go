package entry

import (
	"encoding/json"
	"strings"
)

// lengthChunk is the final event of an answer whose tokens were all delivered.
const lengthChunk = `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`

// answerText is the text of an answer as delivered so far, from which another
// engine can continue. Events are stored unparsed; decodeEvents decodes them
// when the text is needed, which is rare.
type answerText struct {
	log     eventLog
	content strings.Builder
	// tokens counts the deltas that contained text; engines are assumed to send
	// one token in each.
	tokens int
	// limit is the request's token limit; zero if it has none.
	limit int
	// finished is set once the event with the finish reason was delivered.
	finished bool
	// opaque is set if the answer is anything but plain text of a single
	// choice, so that no other engine can continue it.
	opaque bool
}

// chunk contains the fields of a streamed chat completion that are needed to
// continue it.
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

// add stores an event.
func (t *answerText) add(data []byte) {
	t.log.add(data)
}

// decodeEvents decodes all events stored so far.
func (t *answerText) decodeEvents() {
	t.content.Reset()
	t.tokens = 0
	t.log.each(t.decodeEvent)
}

func (t *answerText) decodeEvent(data []byte) {
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
			t.content.WriteString(choice.Delta.Content)
			t.tokens++
		}
		if choice.FinishReason != nil {
			t.finished = true
		}
	}
}

// isComplete reports whether all tokens of the answer were delivered.
func (t *answerText) isComplete() bool {
	if t.opaque {
		return false
	}
	return t.finished || t.limit > 0 && t.tokens >= t.limit
}

// continuationBody returns the request body for another engine that continues
// the answer: the delivered text becomes the beginning of the assistant's
// message, and the token limits are reduced by the tokens delivered. It returns
// false for requests that cannot be continued this way.
func continuationBody(body []byte, t *answerText) ([]byte, bool) {
	if t.opaque {
		return nil, false
	}
	var doc map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(body, &doc) != nil || json.Unmarshal(doc["messages"], &messages) != nil {
		return nil, false
	}
	messages, ok := appendPartial(messages, t.content.String())
	if !ok {
		return nil, false
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		reduceTokenLimit(doc, name, t.tokens)
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

// appendPartial appends the text as an assistant message, or to the last
// message if that is already one of the assistant.
func appendPartial(messages []json.RawMessage, partial string) ([]json.RawMessage, bool) {
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

func reduceTokenLimit(doc map[string]json.RawMessage, name string, used int) {
	var limit int
	if json.Unmarshal(doc[name], &limit) != nil || limit <= 0 {
		return
	}
	doc[name] = mustJSON(max(1, limit-used))
}

// mustJSON encodes v and panics on an error. It is used for values whose
// encoding cannot fail.
func mustJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// tokenLimit returns a chat request's limit on answer tokens; zero if it has
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
