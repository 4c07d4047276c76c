package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

const (
	standinHealthPath = standin.HealthPath
	standinReportPath = standin.ReportPath
)

// reply is what a client received. Its body is complete if err is nil.
type reply struct {
	status int
	body   string
	signed bool
	err    error
}

// client sends requests over one kept connection, as long as it stays open.
type client struct {
	router string
	// key is the tenant's key; empty means that none is sent.
	key string
	// resumes is the request whose stream the client takes up after lastEvent events; empty means none.
	resumes   string
	lastEvent int
	conn      net.Conn
	reader    *bufio.Reader
}

// send sends a request and reads its answer to the end. tokens is the maximum number of tokens of a chat's answer.
func (c *client) send(method, path, id string, budget time.Duration, tokens int) reply {
	return c.sendUntil(method, path, id, budget, tokens, time.Now().Add(budget+time.Second))
}

// sendUntil is send for a client that leaves at a time.
func (c *client) sendUntil(method, path, id string, budget time.Duration, tokens int, until time.Time) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.router, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(until)
	body := ""
	if method == http.MethodPost {
		body = fmt.Sprintf(`{"order":%q}`, id)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, budget.Milliseconds())
	if c.key != "" {
		head += fmt.Sprintf("Authorization: Token %s\r\n", c.key)
	}
	if c.resumes != "" {
		head += fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", c.resumes, c.lastEvent)
	}
	if tokens > 0 {
		head += fmt.Sprintf("Model: m\r\nToken-Usage: 829,%d\r\nPrompt-Prefix: 5c1e07a2:699,%s:130\r\n", tokens, id)
	}
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		c.drop()
		return reply{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.drop()
		return reply{err: err}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.drop()
	}
	return reply{response.StatusCode, string(data), response.Header.Get("Response-Seal") != "", err}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// describe is the text of a reply in the record.
func (r reply) describe() string {
	switch {
	case r.status == 0:
		return fmt.Sprintf("no answer: %v", r.err)
	case r.err != nil:
		return fmt.Sprintf("status %d, cut after %d bytes: %v", r.status, len(r.body), r.err)
	case r.status >= 300:
		return fmt.Sprintf("status %d %s", r.status, r.body)
	default:
		return fmt.Sprintf("status %d, complete, %d bytes", r.status, len(r.body))
	}
}

// isWhole reports whether the body of a complete success is the whole answer to the request.
func (r reply) isWhole(path, id string) bool {
	if !isStream(path) {
		return r.body == fullBody(id)
	}
	var whole strings.Builder
	for i := range events(path) {
		whole.WriteString(eventText(id, i+1))
	}
	return r.body == whole.String()
}

// looksComplete reports whether the client takes the reply for a complete success.
func (r reply) looksComplete() bool {
	return r.err == nil && r.status >= 200 && r.status < 300
}
