package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Ask is one client attempt.
type Ask struct {
	Router           *Router
	Method, Path, ID string
	Key              string
	Body             string
	Deadline         time.Duration
	// After is the last event that the client has of a stream that it takes up, Resumes the
	// client attempt that brought its first event.
	After   int
	Resumes string
	// Usage is the number of prompt tokens and the maximum number of output tokens.
	Usage string
	// Conn is the connection to use; nil means a new one.
	Conn *Conn
	// OnHead is called with the status and header of the answer, OnEvent with the ID and the
	// data of each event.
	OnHead  func(status int, h http.Header)
	OnEvent func(id int, data string)
}

// Answer is how a client attempt ended.
type Answer struct {
	// Status is zero if the connection ended without an answer.
	Status int
	Header http.Header
	Body   string
	// Whole means that the answer is complete.
	Whole bool
	Err   error
}

// Host is the host of all routes.
const Host = "review.example"

// transport opens a new connection for each client attempt.
var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// Conn is a connection that a client keeps open for many requests.
type Conn struct {
	transport *http.Transport
	dials     atomic.Int64
}

// NewConn returns a connection, which is opened by the first request.
func NewConn() *Conn {
	c := &Conn{}
	c.transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.dials.Add(1)
		var d net.Dialer
		return d.DialContext(ctx, network, addr)
	}}
	return c
}

// Dials returns how often the connection was opened.
func (c *Conn) Dials() int64 {
	return c.dials.Load()
}

// Close closes the connection if it is idle.
func (c *Conn) Close() {
	c.transport.CloseIdleConnections()
}

// Send makes a client attempt.
func Send(a Ask) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Router.Front+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	request.Header.Set("Attempt-Id", a.ID)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+a.Key)
	if a.After > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(a.After))
		request.Header.Set("Resumes", a.Resumes)
	}
	if a.Usage != "" {
		request.Header.Set("Token-Usage", a.Usage)
	}
	through := transport
	if a.Conn != nil {
		through = a.Conn.transport
	}
	response, err := through.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	if a.OnHead != nil {
		a.OnHead(response.StatusCode, response.Header)
	}
	answer := Answer{Status: response.StatusCode, Header: response.Header}
	if response.StatusCode == http.StatusOK && a.OnEvent != nil {
		answer.Err = readEvents(response.Body, a.OnEvent)
	} else {
		var body []byte
		body, answer.Err = io.ReadAll(response.Body)
		answer.Body = string(body)
	}
	answer.Whole = answer.Err == nil
	return answer
}

// readEvents reads a stream to its end.
func readEvents(body io.Reader, onEvent func(id int, data string)) error {
	reader := bufio.NewReader(body)
	id, data := 0, ""
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			// A malformed ID reads as zero, which the checks notice.
			id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "" && id > 0:
			onEvent(id, data)
			id, data = 0, ""
		}
	}
}
