package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ask is one client attempt at a stream.
type ask struct {
	id, prompt string
	budget     time.Duration
	// key is that of the client; empty means apiKey.
	key string
}

// answer is what a client got.
type answer struct {
	// status is zero if there was no answer.
	status int
	body   string
	// events are the numbers of the events, last the number of the newest one.
	first, last int
	// whole is set if the answer ended as the protocol says, final if it has the last event.
	whole, final bool
	err          error
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request on a new connection and reads the answer until its end, the end of ctx,
// or the client's time budget.
func send(ctx context.Context, addr string, a ask) (got answer) {
	ctx, cancel := context.WithTimeout(ctx, a.budget)
	defer cancel()
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		got.err = err
		return got
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	body := "the prompt"
	head := fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n",
		host, a.id, a.prompt, a.budget.Milliseconds(), cmp.Or(a.key, apiKey), len(body))
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		got.err = err
		return got
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		got.err = err
		return got
	}
	defer response.Body.Close()
	got.status = response.StatusCode
	if got.status != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
		got.body = string(text)
		return got
	}
	got.read(response.Body)
	return got
}

// read reads the events of a stream.
func (a *answer) read(body io.Reader) {
	r := bufio.NewReader(body)
	event, final := 0, false
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			a.whole, a.err = err == io.EOF, err
			return
		}
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "id:"):
			event, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data:"):
			final = strings.HasSuffix(line, " last")
		case line == "" && event > 0:
			if a.first == 0 {
				a.first = event
			}
			a.last, a.final, event = event, a.final || final, 0
		}
	}
}

// randomPrompt returns the prompt of a new chat.
func randomPrompt() string {
	return fmt.Sprintf("%s:512,%08x:580,%08x:130", systemPart, rand.Uint32(), rand.Uint32())
}
