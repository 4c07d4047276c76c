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

// hopHeaders are not passed on to plain services.
var hopHeaders = map[string]bool{
	"authorization": true, "connection": true, "content-length": true, "host": true, "keep-alive": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true, "expect": true,
	"idempotency-key": true, "ragwort-deadline-ms": true,
}

func (f *Face) plainRequest(c *app.RequestContext) (*entry.Request, *refusal) {
	snapshot, account, bad := f.admit(c)
	if bad != nil {
		return nil, bad
	}
	service, ok := snapshot.Services[fleet.ServiceName(c.Param("service"))]
	if !ok || service.Kind != fleet.KindPlain {
		return nil, &refusal{code: reason.UnknownService}
	}
	values := snapshot.Effective(f.cfg.Self.Domain, service.Name, account)
	body, bad := readBody(c, values.Limits.BodyBytes)
	if bad != nil {
		return nil, bad
	}
	req, bad := f.base(c, account, service, values)
	if bad != nil {
		return nil, bad
	}
	req.Body = bytes.Clone(body)
	req.Method = string(c.Method())
	req.Path = pathBelow(c)
	req.Header = passedHeaders(c)
	req.Repeatable = retry.Repeatable(snapshot.Rules, service.Name, req.Method, req.Path)
	return req, nil
}

// pathBelow returns the path below /s/{service} with its query.
func pathBelow(c *app.RequestContext) string {
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	if query := string(c.Request.URI().QueryString()); query != "" {
		path += "?" + query
	}
	return path
}

func passedHeaders(c *app.RequestContext) []plain.Field {
	var fields []plain.Field
	c.Request.Header.VisitAll(func(k, v []byte) {
		name := string(k)
		if hopHeaders[strings.ToLower(name)] {
			return
		}
		fields = append(fields, plain.Field{Name: name, Value: string(v)})
	})
	return fields
}
