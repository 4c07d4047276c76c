package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/reason"
)

// ErrUnreachable means that the administration API did not respond.
var ErrUnreachable = errors.New("operator: administration API not reachable")

// clientTimeout bounds one call. It is longer than inForceTimeout, for which
// the API waits until a change is in force.
const clientTimeout = 30 * time.Second

// ClientConfig configures a Client.
type ClientConfig struct {
	// Server is https://host:port.
	Server string
	Token  string
	// Authority is the PEM-encoded certificate that signs the listener's
	// certificate; empty uses the system's certificates.
	Authority []byte
}

// Client calls the administration API. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *client.Client
}

// NewClient returns a client. It does not connect to the API.
func NewClient(cfg ClientConfig) (*Client, error) {
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if len(cfg.Authority) > 0 {
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(cfg.Authority) {
			return nil, fmt.Errorf("operator: authority: %w", keys.ErrBadPEM)
		}
		tlsConfig.RootCAs = pool
	}
	http, err := client.NewClient(client.WithTLSConfig(tlsConfig), client.WithDialer(standard.NewDialer()))
	if err != nil {
		return nil, err
	}
	return &Client{base: strings.TrimSuffix(cfg.Server, "/") + "/admin/v1/", token: cfg.Token, http: http}, nil
}

// Call is one request to the API.
type Call struct {
	Method string
	// Path is relative to /admin/v1/.
	Path  string
	Query url.Values
	// Version makes a change conditional on the object's version; nil sends no
	// condition.
	Version *uint64
	Body    []byte
}

// Do sends a call and decodes the response into answer, which may be nil. If
// the API rejects the call, the error is an *APIError; ErrUnreachable means
// that no response arrived.
func (c *Client) Do(ctx context.Context, call Call, answer any) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(call.Method)
	request.SetRequestURI(c.base + call.Path)
	request.SetQueryString(call.Query.Encode())
	request.SetHeader("Authorization", "Bearer "+c.token)
	if call.Version != nil {
		request.SetHeader("If-Match", strconv.Quote(strconv.FormatUint(*call.Version, 10)))
	}
	if call.Body != nil {
		request.SetHeader("Content-Type", "application/json")
		request.SetBody(call.Body)
	}
	if err := c.http.DoTimeout(ctx, request, response, clientTimeout); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return decodeResponse(response, answer)
}

func decodeResponse(response *protocol.Response, answer any) error {
	body := response.Body()
	if response.StatusCode() >= 300 {
		var rejected ErrorResponse
		if json.Unmarshal(body, &rejected) != nil || rejected.Error.Code == "" {
			rejected.Error = APIError{Code: reason.Internal, Message: fmt.Sprintf("status %d", response.StatusCode())}
		}
		return &rejected.Error
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("operator: decode response: %w", err)
	}
	return nil
}

// Close closes the idle connections of the client.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Error returns the code and the message, then the current version, the changes
// and the findings, one per line.
func (e *APIError) Error() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s", e.Code, e.Message)
	if e.CurrentVersion != nil {
		fmt.Fprintf(&out, "\ncurrent version: %d", *e.CurrentVersion)
	}
	for _, d := range e.Changed {
		fmt.Fprintf(&out, "\nchanged %s: %s -> %s", d.Pointer, d.Old, d.New)
	}
	if len(e.Findings) > 0 {
		out.WriteString("\n" + e.Findings.Error())
	}
	return out.String()
}
