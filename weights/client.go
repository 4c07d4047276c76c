package weights

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"ragwortpond.example/ragwortpond/httpconn"
)

// ErrUnavailable means that the store could not be reached or did not send a
// valid response. The load may have been reserved nevertheless.
var ErrUnavailable = errors.New("weights: unavailable")

// maxTicketBytes bounds the body of a response.
const maxTicketBytes = 64 << 10

// ClientConfig configures a client.
type ClientConfig struct {
	// Addr is host:port of the store.
	Addr string
	// Timeout bounds a call; zero means five seconds.
	Timeout time.Duration
}

type client struct {
	config ClientConfig
}

// NewClient returns a client that calls the weight store over HTTP.
func NewClient(c ClientConfig) Store {
	if c.Timeout <= 0 {
		c.Timeout = 5 * time.Second
	}
	return &client{config: c}
}

// Reserve implements Store.
func (c *client) Reserve(ctx context.Context, artifact string) (Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	out := protocol.NewRequest("POST", "http://"+c.config.Addr+"/v1/loads/"+url.PathEscape(artifact), nil)
	x, err := httpconn.Start(ctx, c.config.Addr, c.config.Timeout, out)
	if err != nil {
		return Reservation{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	body, err := x.ReadAll(maxTicketBytes)
	if err != nil {
		return Reservation{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if x.Status() == http.StatusNotFound {
		return Reservation{}, fmt.Errorf("%w: %s", ErrNotFound, artifact)
	}
	var t Reservation
	if err := json.Unmarshal(body, &t); err != nil || x.Status() != http.StatusOK {
		return Reservation{}, fmt.Errorf("%w: status %d", ErrUnavailable, x.Status())
	}
	return t, nil
}
