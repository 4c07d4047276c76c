// Package objectclient implements an HTTP client for the platform's object API
// and its VM list, which lags behind the actual state.
package objectclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1"

	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
)

const (
	defaultTimeout  = 2 * time.Second
	maxConnections  = 256
	idleConnTimeout = 2 * time.Second
)

// ClientConfig configures a client.
type ClientConfig struct {
	// Addr is host:port of the platform's HTTP listener.
	Addr string
	// Timeout bounds each call. A watch has its wait time in addition. Zero means
	// two seconds.
	Timeout time.Duration
	// Metrics counts the calls by verb and result. It may be nil.
	Metrics *metrics.Set
}

// Client calls the platform over HTTP. It implements objectapi.Store and
// objectapi.VMLister and is safe for concurrent use.
//
// A call whose context ends returns at once. Its connection is released no later
// than when the call's timeout has passed or the client is closed.
type Client struct {
	config ClientConfig
	http   *http1.HostClient
	dialer *trackingDialer
}

var (
	_ objectapi.Store    = (*Client)(nil)
	_ objectapi.VMLister = (*Client)(nil)
)

// NewClient returns a client. It connects on the first call.
func NewClient(config ClientConfig) *Client {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	dialer := newTrackingDialer()
	host := &http1.ClientOptions{
		Dialer:                 dialer,
		DisablePathNormalizing: true,
		DialTimeout:            config.Timeout,
		MaxConns:               maxConnections,
		MaxIdleConnDuration:    idleConnTimeout,
		WriteTimeout:           config.Timeout,
		MaxResponseBodySize:    maxBodyBytes,
	}
	client := &Client{config: config, dialer: dialer}
	client.http = http1.NewHostClient(host).(*http1.HostClient)
	client.http.Addr = config.Addr
	return client
}

// Close closes all connections. Calls in flight and later calls fail.
func (c *Client) Close() error {
	c.dialer.close()
	c.http.CloseIdleConnections()
	return c.http.Close()
}

// Get implements objectapi.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	r, err := c.read(ctx, "get", objectPath(kind, name), 0)
	if err != nil {
		return objectapi.Object{}, err
	}
	return objectapi.Object{Kind: kind, Name: name, Version: r.version, Data: r.body}, nil
}

// List implements objectapi.Store.
func (c *Client) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	r, err := c.read(ctx, "list", objectapi.ObjectsPath+url.PathEscape(kind), 0)
	if err != nil {
		return nil, 0, err
	}
	var list objectapi.ListResponse
	if err := decode("list", r.body, &list); err != nil {
		return nil, 0, err
	}
	return list.Objects, list.Revision, nil
}

// Put implements objectapi.Store.
func (c *Client) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	if len(data) > objectapi.MaxValueBytes {
		return 0, fmt.Errorf("put %s/%s: %w", kind, name, objectapi.ErrTooLarge)
	}
	return c.write(ctx, "put", objectPath(kind, name)+ifVersionQuery(ifVersion), data)
}

// Delete implements objectapi.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	path := objectPath(kind, name) + ifVersionQuery(ifVersion) + "&" + objectapi.DeleteParam + "=1"
	return c.write(ctx, "delete", path, nil)
}

// Watch implements objectapi.Store as one long poll.
func (c *Client) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) ([]objectapi.Change, uint64, error) {
	query := url.Values{}
	query.Set(objectapi.KindsParam, strings.Join(kinds, ","))
	query.Set(objectapi.FromParam, strconv.FormatUint(from, 10))
	query.Set(objectapi.WaitParam, strconv.FormatInt(wait.Milliseconds(), 10))
	r, err := c.read(ctx, "watch", objectapi.WatchPath+"?"+query.Encode(), wait)
	if err != nil {
		return nil, 0, err
	}
	var watch objectapi.WatchResponse
	if err := decode("watch", r.body, &watch); err != nil {
		return nil, 0, err
	}
	return watch.Changes, watch.Revision, nil
}

// VMs implements objectapi.VMLister.
func (c *Client) VMs(ctx context.Context) ([]objectapi.VM, error) {
	r, err := c.read(ctx, "vms", objectapi.VMsPath, 0)
	if err != nil {
		return nil, err
	}
	var vms []objectapi.VM
	return vms, decode("vms", r.body, &vms)
}

func (c *Client) read(ctx context.Context, verb, path string, wait time.Duration) (response, error) {
	request := c.newRequest(path, wait)
	request.Header.SetMethod(consts.MethodGet)
	r, err := c.send(ctx, request)
	err = classifyReadError(verb, err)
	c.countCall(verb, err)
	return r, err
}

func (c *Client) write(ctx context.Context, verb, path string, data []byte) (uint64, error) {
	request := c.newRequest(path, 0)
	request.Header.SetMethod(consts.MethodPost)
	request.SetBody(data)
	r, err := c.send(ctx, request)
	err = classifyWriteError(verb, err)
	c.countCall(verb, err)
	return r.version, err
}

func (c *Client) newRequest(path string, wait time.Duration) *protocol.Request {
	request := protocol.NewRequest("", "http://"+c.config.Addr+path, nil)
	request.SetOptions(requestTimeout(c.config.Timeout + wait))
	return request
}

func (c *Client) countCall(verb string, err error) {
	if c.config.Metrics != nil {
		c.config.Metrics.StoreCalls.WithLabelValues(verb, resultLabel(err)).Inc()
	}
}

func objectPath(kind, name string) string {
	return objectapi.ObjectsPath + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func ifVersionQuery(version uint64) string {
	return "?" + objectapi.IfVersionParam + "=" + strconv.FormatUint(version, 10)
}

func decode(verb string, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%s: %w: malformed response: %w", verb, objectapi.ErrUnavailable, err)
	}
	return nil
}
