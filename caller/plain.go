package caller

import (
	"bytes"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/router/entry"
)

// strippedHeaders lists the request headers that are not forwarded to plain
// services, in lower case.
var strippedHeaders = map[string]bool{
	"authorization": true, "connection": true, "content-length": true, "host": true, "keep-alive": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "expect": true,
	"idempotency-key": true, "ragwort-deadline-ms": true,
}

func (f *HTTPServer) parsePlainRequest(c *app.RequestContext) (*entry.Request, *requestError) {
	snapshot, account, reqErr := f.admit(c)
	if reqErr != nil {
		return nil, reqErr
	}
	service, ok := snapshot.Services[fleet.ServiceName(c.Param("service"))]
	if !ok || service.Kind != fleet.KindPlain {
		return nil, &requestError{code: reason.UnknownService}
	}
	values := snapshot.Effective(f.cfg.Self.Domain, service.Name, account)
	body, reqErr := readBody(c, values.Limits.BodyBytes)
	if reqErr != nil {
		return nil, reqErr
	}
	req, reqErr := f.newRequest(c, account, service, values)
	if reqErr != nil {
		return nil, reqErr
	}
	req.Body = bytes.Clone(body)
	req.Method = string(c.Method())
	req.Path = servicePath(c)
	req.Header = forwardedHeaders(c)
	req.Repeatable = retry.IsRepeatable(snapshot.Rules, service.Name, req.Method, req.Path)
	return req, nil
}

// servicePath returns the path after /s/{service}, with the query.
func servicePath(c *app.RequestContext) string {
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	if query := string(c.Request.URI().QueryString()); query != "" {
		path += "?" + query
	}
	return path
}

func forwardedHeaders(c *app.RequestContext) []plain.Field {
	var fields []plain.Field
	c.Request.Header.VisitAll(func(k, v []byte) {
		name := string(k)
		if strippedHeaders[strings.ToLower(name)] {
			return
		}
		fields = append(fields, plain.Field{Name: name, Value: string(v)})
	})
	return fields
}
