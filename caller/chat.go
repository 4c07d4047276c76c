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

// chatBody holds the fields of an OpenAI chat request that routing needs.
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

func (f *HTTPServer) parseChatRequest(c *app.RequestContext) (*entry.Request, *requestError) {
	snapshot, account, reqErr := f.admit(c)
	if reqErr != nil {
		return nil, reqErr
	}
	limit := snapshot.Effective(f.cfg.Self.Domain, "", account).Limits.BodyBytes
	raw, reqErr := readBody(c, limit)
	if reqErr != nil {
		return nil, reqErr
	}
	body, reqErr := parseChat(raw)
	if reqErr != nil {
		return nil, reqErr
	}
	service, ok := snapshot.Services[fleet.ServiceName(body.Model)]
	if !ok || service.Kind != fleet.KindEngine {
		return nil, &requestError{code: reason.UnknownModel}
	}
	values := snapshot.Effective(f.cfg.Self.Domain, service.Name, account)
	req, reqErr := f.newRequest(c, account, service, values)
	if reqErr != nil {
		return nil, reqErr
	}
	setChatFields(req, c, body, raw, values)
	return req, nil
}

func setChatFields(req *entry.Request, c *app.RequestContext, body chatBody, raw []byte, v *settings.Values) {
	req.Body = bytes.Clone(raw)
	req.Stream = body.Stream
	req.Repeatable = true
	req.Resume = string(c.GetHeader(entry.HeaderResume))
	req.ResumeFrom = resumeFrom(string(c.GetHeader(headerLastEvent)))
	req.Context = string(c.GetHeader(HeaderContext))
	req.Chat = chatKey(req.Account, string(c.GetHeader(HeaderChat)), body.Messages)
	req.Prefix = prefixKey(body.Messages, v.Placement.PrefixTokens)
	req.Returning = len(body.Messages) > 2 || req.Context != ""
	req.PromptTokens = estimatePromptTokens(body.Messages)
	req.AnswerTokens = body.MaxTokens
	if req.AnswerTokens <= 0 {
		req.AnswerTokens = defaultAnswerTokens
	}
}

// resumeFrom returns the number of the event after the one in a Last-Event-ID
// header, or 0, the first event, if the header is missing or not a number.
func resumeFrom(last string) uint64 {
	n, err := strconv.ParseUint(last, 10, 63)
	if err != nil {
		return 0
	}
	return n + 1
}

// parseChat decodes a chat request. The detail of an error gives the position
// of the fault.
func parseChat(raw []byte) (chatBody, *requestError) {
	var body chatBody
	err := json.Unmarshal(raw, &body)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return body, malformedBody("At byte %d: %v.", syntaxErr.Offset, syntaxErr)
	case errors.As(err, &typeErr):
		return body, malformedBody("At /%s: expected %s, got %s.", typeErr.Field, typeErr.Type, typeErr.Value)
	case err != nil:
		return body, malformedBody("%v.", err)
	case body.Model == "":
		return body, malformedBody("At /model: a service name is needed.")
	case len(body.Messages) == 0:
		return body, malformedBody("At /messages: at least one message is needed.")
	default:
		return body, nil
	}
}

func malformedBody(format string, args ...any) *requestError {
	return &requestError{reason.MalformedBody, fmt.Sprintf(format, args...)}
}

// chatKey derives the key of a chat from the ID that the caller sent. Without
// an ID it hashes the messages up to and including the first user message.
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

// prefixKey hashes a leading system message of at least minTokens estimated
// tokens; chats that share it are grouped. It returns 0 if there is no such
// message or minTokens is not positive.
func prefixKey(messages []chatMessage, minTokens int) fleet.PrefixKey {
	first := messages[0]
	if minTokens <= 0 || first.Role != "system" || len(first.Content) < minTokens*bytesPerToken {
		return 0
	}
	return fleet.PrefixKey(xxhash.Sum64(first.Content))
}

func estimatePromptTokens(messages []chatMessage) int {
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	return size/bytesPerToken + 1
}
