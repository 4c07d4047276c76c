package testbed

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

// Client sends requests to the testbed's routers and compares chat answers with the
// answer that the stand-in engines generate. It is safe for concurrent use.
type Client struct {
	testbed *Testbed
	http    *http.Client
}

// NewClient returns a client with its own connection pool. The caller must call
// Close.
func (b *Testbed) NewClient() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: clientConns, DisableCompression: true}
	return &Client{testbed: b, http: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// Close closes the client's idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Chat is the client-side state of one chat. It is not safe for concurrent use.
type Chat struct {
	ID       string
	Account  fleet.AccountName
	Service  fleet.ServiceName
	Messages []standin.Message
	// Context is the context token of the latest correct answer. It is sent with
	// the next message unless empty.
	Context string
}

// Answer is the response to one request.
type Answer struct {
	Status  int
	Outcome outcome.Label
	Reason  reason.Code
	// Complete reports that a stream ended with [DONE], or that the body of a call
	// was read in full with outcome completed. Correct reports that a chat answer
	// is complete and equals the expected text byte for byte; for calls of plain
	// services it equals Complete.
	Complete bool
	Correct  bool
	Text     string
	Body     []byte
	// FirstByte is the time from the start of the request to the response header,
	// set by SendMessage alone. Total is the time to the end of the body; it is
	// zero for a chat that was not answered with status 200.
	FirstByte time.Duration
	Total     time.Duration
}

// Refused reports whether the outcome of the request is not-run.
func (a Answer) Refused() bool {
	return a.Outcome == outcome.NotRun
}

// SendMessage sends the next message of a chat to a router and reads the streamed
// answer. If the answer is correct, the message and the answer are appended to
// the chat. With an error the outcome of the answer is unknown, unless the router
// reported another one.
func (c *Client) SendMessage(ctx context.Context, m *RunningRouter, chat *Chat, text string, maxTokens int) (Answer, error) {
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
	answer := answerFromHeader(resp)
	answer.FirstByte = time.Since(start)
	if resp.StatusCode != http.StatusOK {
		answer.Body, _ = io.ReadAll(resp.Body)
		return answer, nil
	}
	err = readStream(resp.Body, &answer)
	answer.Total = time.Since(start)
	answer.Correct = answer.Complete && answer.Text == strings.Join(standin.Answer(messages, maxTokens), "")
	if answer.Correct {
		chat.Messages = append(messages, standin.Message{Role: "assistant", Content: answer.Text})
		chat.Context = resp.Header.Get(caller.HeaderContext)
	}
	return answer, err
}

// Call calls a plain service through a router. With an empty key it sends no
// Idempotency-Key header.
func (c *Client) Call(ctx context.Context, m *RunningRouter, account fleet.AccountName, service fleet.ServiceName, method, path, key string, body []byte) (Answer, error) {
	header := http.Header{}
	if key != "" {
		header.Set(caller.HeaderIdempotencyKey, key)
	}
	start := time.Now()
	resp, err := c.send(ctx, m, account, method, fmt.Sprintf("/s/%s%s", service, path), header, body)
	if err != nil {
		return Answer{Outcome: outcome.Unknown}, err
	}
	defer resp.Body.Close()
	answer := answerFromHeader(resp)
	answer.Body, err = io.ReadAll(resp.Body)
	answer.Total = time.Since(start)
	answer.Complete = err == nil && answer.Outcome == outcome.Completed
	answer.Correct = answer.Complete
	return answer, err
}

func (c *Client) send(ctx context.Context, m *RunningRouter, account fleet.AccountName, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, m.CallerURL()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+c.testbed.AccountKeys[account])
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

func answerFromHeader(resp *http.Response) Answer {
	return Answer{
		Status:  resp.StatusCode,
		Outcome: outcome.Label(resp.Header.Get(caller.HeaderOutcome)),
		Reason:  reason.Code(resp.Header.Get(caller.HeaderReason)),
	}
}

// chunkBody holds the fields of a stream chunk or error event that readStream
// uses.
type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error struct {
		Code    reason.Code   `json:"code"`
		Outcome outcome.Label `json:"outcome"`
	} `json:"error"`
}

// readStream reads server-sent events into a. The answer is complete only if the
// stream contains [DONE].
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
			a.Complete = true
			a.Outcome = outcome.Completed
			continue
		}
		var chunk chunkBody
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return fmt.Errorf("testbed: chunk: %w", err)
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

// postChat posts a body, which may be malformed, to the chat endpoint.
func (c *Client) postChat(ctx context.Context, m *RunningRouter, account fleet.AccountName, body string) (Answer, error) {
	resp, err := c.send(ctx, m, account, http.MethodPost, "/v1/chat/completions", http.Header{}, []byte(body))
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	return answerFromHeader(resp), nil
}
