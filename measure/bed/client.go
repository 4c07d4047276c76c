package bed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/caller"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	clientConns   = 512
	clientTimeout = 60 * time.Second
	sseDataPrefix = "data: "
	sseDone       = "[DONE]"
)

// Client is a caller of the bed's routers that checks every answer against
// what the stand-in engines must say. It is safe for concurrent use.
type Client struct {
	bed  *Bed
	http *http.Client
}

// NewClient returns a caller.
func (b *Bed) NewClient() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: clientConns, DisableCompression: true}
	return &Client{bed: b, http: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// Close ends the caller's idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Chat is one chat with what its caller remembers of it. It is used by one
// goroutine at a time.
type Chat struct {
	ID       string
	Account  fleet.AccountName
	Service  fleet.ServiceName
	Messages []standin.Message
	// Context is the token of the latest answer.
	Context string
}

// Answer is what a caller got.
type Answer struct {
	Status  int
	Outcome outcome.Word
	Reason  reason.Code
	// Whole says that the answer was passed as whole; Right that it is also
	// what the engine must say, byte for byte.
	Whole bool
	Right bool
	Text  string
	Body  []byte
	// FirstByte and Total are measured from the start of the call.
	FirstByte time.Duration
	Total     time.Duration
}

// Refused reports whether the caller was told that nothing was run.
func (a Answer) Refused() bool {
	return a.Outcome == outcome.NotRun
}

// Say sends the next message of a chat through a router as a stream. A right
// answer is added to the chat.
func (c *Client) Say(ctx context.Context, m *Member, chat *Chat, text string, maxTokens int) (Answer, error) {
	messages := append(append([]standin.Message(nil), chat.Messages...), standin.Message{Role: "user", Content: text})
	body, err := json.Marshal(map[string]any{
		"model": chat.Service, "messages": messages, "stream": true, "max_tokens": maxTokens,
	})
	if err != nil {
		return Answer{}, err
	}
	header := http.Header{}
	header.Set(caller.HeaderChat, chat.ID)
	if chat.Context != "" {
		header.Set(caller.HeaderContext, chat.Context)
	}
	start := time.Now()
	resp, err := c.send(ctx, m, chat.Account, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		return Answer{Outcome: outcome.Unknown}, err
	}
	defer resp.Body.Close()
	answer := head(resp)
	answer.FirstByte = time.Since(start)
	if resp.StatusCode != http.StatusOK {
		answer.Body, _ = io.ReadAll(resp.Body)
		return answer, nil
	}
	err = readStream(resp.Body, &answer)
	answer.Total = time.Since(start)
	answer.Right = answer.Whole && answer.Text == strings.Join(standin.Answer(messages, maxTokens), "")
	if answer.Right {
		chat.Messages = append(messages, standin.Message{Role: "assistant", Content: answer.Text})
		chat.Context = resp.Header.Get(caller.HeaderContext)
	}
	return answer, err
}

// Call sends a call of a plain service through a router. An empty key sends no
// Idempotency-Key.
func (c *Client) Call(ctx context.Context, m *Member, account fleet.AccountName, service fleet.ServiceName, method, path, key string, body []byte) (Answer, error) {
	header := http.Header{}
	if key != "" {
		header.Set(caller.HeaderKey, key)
	}
	start := time.Now()
	resp, err := c.send(ctx, m, account, method, fmt.Sprintf("/s/%s%s", service, path), header, body)
	if err != nil {
		return Answer{Outcome: outcome.Unknown}, err
	}
	defer resp.Body.Close()
	answer := head(resp)
	answer.Body, err = io.ReadAll(resp.Body)
	answer.Total = time.Since(start)
	answer.Whole = err == nil && answer.Outcome == outcome.Completed
	answer.Right = answer.Whole
	return answer, err
}

func (c *Client) send(ctx context.Context, m *Member, account fleet.AccountName, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, m.CallerURL()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+c.bed.AccountKeys[account])
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

func head(resp *http.Response) Answer {
	return Answer{
		Status:  resp.StatusCode,
		Outcome: outcome.Word(resp.Header.Get(caller.HeaderOutcome)),
		Reason:  reason.Code(resp.Header.Get(caller.HeaderReason)),
	}
}

// chunkBody is the part of a chunk or of an error event that a caller reads.
type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error struct {
		Code    reason.Code  `json:"code"`
		Outcome outcome.Word `json:"outcome"`
	} `json:"error"`
}

// readStream reads server-sent events; a stream is whole only with [DONE].
func readStream(r io.Reader, a *Answer) error {
	a.Outcome = outcome.Unknown
	var text strings.Builder
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), sseDataPrefix)
		if !ok {
			continue
		}
		if data == sseDone {
			a.Whole = true
			a.Outcome = outcome.Completed
			continue
		}
		var chunk chunkBody
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return fmt.Errorf("bed: chunk: %w", err)
		}
		if chunk.Error.Code != "" {
			a.Reason, a.Outcome = chunk.Error.Code, chunk.Error.Outcome
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	a.Text = text.String()
	return scanner.Err()
}

// raw posts a body as a chat request.
func (c *Client) raw(ctx context.Context, m *Member, account fleet.AccountName, body string) (Answer, error) {
	resp, err := c.send(ctx, m, account, http.MethodPost, "/v1/chat/completions", http.Header{}, []byte(body))
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	return head(resp), nil
}
