package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
)

// Document is one object as the API shows it.
type Document struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"document,omitempty"`
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// InForce is there if the request asked to wait.
	InForce *propagate.InForce `json:"in_force,omitempty"`
}

// Refusal is the answer to a refused request.
type Refusal struct {
	Error RefusalError `json:"error"`
}

// RefusalError says why a request was refused.
type RefusalError struct {
	Code    reason.Code `json:"code"`
	Message string      `json:"message"`
	// Findings of an invalid document.
	Findings settings.Findings `json:"findings,omitempty"`
	// CurrentVersion and Changed go with a stale version: the object's version,
	// zero if it is gone, and what changed since the version given, if the
	// platform still holds that version.
	CurrentVersion *uint64               `json:"current_version,omitempty"`
	Changed        []settings.Difference `json:"changed,omitempty"`
}

// refusal is an error that becomes a Refusal.
type refusal struct {
	body RefusalError
}

func (r *refusal) Error() string {
	return string(r.body.Code) + ": " + r.body.Message
}

func refuse(code reason.Code, format string, args ...any) *refusal {
	message := reason.Describe(code).Text
	if format != "" {
		message += " " + fmt.Sprintf(format, args...)
	}
	return &refusal{RefusalError{Code: code, Message: message}}
}

// refusalOf turns an error of the store into a refusal.
func refusalOf(err error) *refusal {
	var known *refusal
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, ErrUnresolved):
		return refuse(reason.ResultUnknown, "The platform did not say whether the change was accepted; read the object.")
	case errors.Is(err, objectapi.ErrNotFound):
		return refuse(reason.NotFound, "")
	case errors.Is(err, objectapi.ErrConflict):
		return refuse(reason.VersionStale, "")
	case errors.Is(err, objectapi.ErrTooLarge):
		return refuse(reason.BodyTooLarge, "")
	}
	return refuse(reason.StoreUnavailable, "Nothing was accepted.")
}

// respond writes the answer or the refusal of a handler.
func (s *Server) respond(c *app.RequestContext, status int, body any, err error) {
	if err != nil {
		s.respondRefusal(c, refusalOf(err))
		return
	}
	writeJSON(c, status, body)
}

func (s *Server) respondRefusal(c *app.RequestContext, r *refusal) {
	info := reason.Describe(r.body.Code)
	s.cfg.Metrics.Refused(r.body.Code)
	logged := event.OperatorRefused
	if r.body.Code == reason.ResultUnknown {
		logged = event.OperatorUnknown
	}
	logged.Log(s.cfg.Log).
		Str("operator", operatorOf(c).Name).
		Str("method", string(c.Method())).
		Str("path", string(c.Path())).
		Str("reason", string(r.body.Code)).
		Send()
	c.Response.Header.Set("Ragwort-Reason", string(r.body.Code))
	if info.Retriable {
		c.Response.Header.Set("Retry-After", "1")
	}
	writeJSON(c, info.Status, Refusal{Error: r.body})
}

func writeJSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.String(500, "%v", err)
		return
	}
	c.Data(status, "application/json", append(data, '\n'))
}

func setETag(c *app.RequestContext, version uint64) {
	c.Response.Header.Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

// ifMatch reads the version that a change is conditional on. Zero, or
// If-None-Match: *, creates the object.
func ifMatch(c *app.RequestContext) (uint64, error) {
	if string(c.GetHeader("If-None-Match")) == "*" {
		return 0, nil
	}
	header := string(c.GetHeader("If-Match"))
	if header == "" {
		return 0, refuse(reason.VersionRequired, "Send the ETag that you read, or If-None-Match: * to create.")
	}
	text, err := strconv.Unquote(header)
	if err != nil {
		text = header
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refuse(reason.VersionStale, "If-Match is not an ETag of this API.")
	}
	return version, nil
}

// stale adds to a refusal where the object is now and what changed since.
func (s *Server) stale(ctx context.Context, ch change) error {
	r := refuse(reason.VersionStale, "")
	current, err := s.cfg.Store.Get(ctx, ch.kind, ch.name)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return err
	}
	r.body.CurrentVersion = &current.Version
	if ch.ifVersion == 0 {
		return r
	}
	if base, ok := s.at(ctx, ch.kind, ch.name, ch.ifVersion); ok {
		r.body.Changed = settings.Diff(base, current.Data)
	}
	return r
}

// at reads an object as it was at a version from the platform's log.
func (s *Server) at(ctx context.Context, kind, name string, version uint64) ([]byte, bool) {
	log, _, err := s.cfg.Store.Watch(ctx, []string{kind}, version-1, 0)
	if err != nil {
		return nil, false
	}
	for _, logged := range log {
		if logged.Object.Name == name && logged.Object.Version == version {
			return logged.Object.Data, true
		}
	}
	return nil, false
}
