package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/settings"
)

const (
	bytesPerToken       = 4
	defaultAnswerTokens = 128
)

// chatBody is the part of an OpenAI chat request that routing needs.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (f *Face) chatRequest(c *app.RequestContext) (*entry.Request, *refusal) {
	snapshot, account, bad := f.admit(c)
	if bad != nil {
		return nil, bad
	}
	limit := snapshot.Effective(f.cfg.Self.Domain, "", account).Limits.BodyBytes
	raw, bad := readBody(c, limit)
	if bad != nil {
		return nil, bad
	}
	body, bad := parseChat(raw)
	if bad != nil {
		return nil, bad
	}
	service, ok := snapshot.Services[fleet.ServiceName(body.Model)]
	if !ok || service.Kind != fleet.KindEngine {
		return nil, &refusal{code: reason.UnknownModel}
	}
	values := snapshot.Effective(f.cfg.Self.Domain, service.Name, account)
	req, bad := f.base(c, account, service, values)
	if bad != nil {
		return nil, bad
	}
	fillChat(req, c, body, raw, values)
	return req, nil
}

func fillChat(req *entry.Request, c *app.RequestContext, body chatBody, raw []byte, v *settings.Values) {
	req.Body = bytes.Clone(raw)
	req.Stream = body.Stream
	req.Repeatable = true
	req.Resume = string(c.GetHeader(entry.HeaderResume))
	req.ResumeFrom = afterLastEvent(string(c.GetHeader(headerLastEvent)))
	req.Context = string(c.GetHeader(HeaderContext))
	req.Chat = chatKey(req.Account, string(c.GetHeader(HeaderChat)), body.Messages)
	req.Prefix = prefixKey(body.Messages, v.Placement.PrefixTokens)
	req.Returning = len(body.Messages) > 2 || req.Context != ""
	req.PromptTokens = promptTokens(body.Messages)
	req.AnswerTokens = body.MaxTokens
	if req.AnswerTokens <= 0 {
		req.AnswerTokens = defaultAnswerTokens
	}
}

// afterLastEvent returns the number of the event that follows the one a caller
// names as its last; without a usable number, that is the first.
func afterLastEvent(last string) uint64 {
	n, err := strconv.ParseUint(last, 10, 63)
	if err != nil {
		return 0
	}
	return n + 1
}

// parseChat decodes a chat request; a syntax error names its place.
func parseChat(raw []byte) (chatBody, *refusal) {
	var body chatBody
	err := json.Unmarshal(raw, &body)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return body, malformed("At byte %d: %v.", syntax.Offset, syntax)
	case errors.As(err, &kind):
		return body, malformed("At /%s: expected %s, got %s.", kind.Field, kind.Type, kind.Value)
	case err != nil:
		return body, malformed("%v.", err)
	case body.Model == "":
		return body, malformed("At /model: a service name is needed.")
	case len(body.Messages) == 0:
		return body, malformed("At /messages: at least one message is needed.")
	default:
		return body, nil
	}
}

func malformed(format string, args ...any) *refusal {
	return &refusal{reason.MalformedBody, fmt.Sprintf(format, args...)}
}

// chatKey derives the key of a chat from the caller's id, or from the messages
// that begin the chat: all up to and including the first user message.
func chatKey(account fleet.AccountName, id string, messages []chatMessage) fleet.ChatKey {
	h := xxhash.New()
	h.WriteString(string(account))
	h.Write([]byte{0})
	if id != "" {
		h.WriteString(id)
		return fleet.ChatKey(h.Sum64())
	}
	h.Write([]byte{0})
	for _, m := range messages {
		h.WriteString(m.Role)
		h.Write([]byte{0})
		h.Write(m.Content)
		if m.Role == "user" {
			break
		}
	}
	return fleet.ChatKey(h.Sum64())
}

// prefixKey hashes the first message where it is long enough to be shared by
// chats and worth grouping by.
func prefixKey(messages []chatMessage, minTokens int) fleet.PrefixKey {
	first := messages[0]
	if minTokens <= 0 || first.Role != "system" || len(first.Content) < minTokens*bytesPerToken {
		return 0
	}
	return fleet.PrefixKey(xxhash.Sum64(first.Content))
}

func promptTokens(messages []chatMessage) int {
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	return size/bytesPerToken + 1
}
