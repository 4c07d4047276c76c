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

// Document is one object as the API returns it.
type Document struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"document,omitempty"`
}

// AcceptedChange is the response to an accepted change.
type AcceptedChange struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// InForce is set if the request asked to wait until the change is in force.
	InForce *propagate.InForceReport `json:"in_force,omitempty"`
}

// ErrorResponse is the response body of a rejected request.
type ErrorResponse struct {
	Error APIError `json:"error"`
}

// APIError says why a request was rejected.
type APIError struct {
	Code    reason.Code `json:"code"`
	Message string      `json:"message"`
	// Findings lists the faults of an invalid document.
	Findings settings.Findings `json:"findings,omitempty"`
	// CurrentVersion and Changed are set if the request gave a stale version:
	// the object's current version, which is zero if it does not exist, and the
	// differences from the given version, if the platform still holds that
	// version.
	CurrentVersion *uint64               `json:"current_version,omitempty"`
	Changed        []settings.Difference `json:"changed,omitempty"`
}

// requestError is an error that is returned as an ErrorResponse.
type requestError struct {
	body APIError
}

func (r *requestError) Error() string {
	return string(r.body.Code) + ": " + r.body.Message
}

func newRequestError(code reason.Code, format string, args ...any) *requestError {
	message := reason.Describe(code).Text
	if format != "" {
		message += " " + fmt.Sprintf(format, args...)
	}
	return &requestError{APIError{Code: code, Message: message}}
}

// toRequestError converts an error of the store to a requestError.
func toRequestError(err error) *requestError {
	var known *requestError
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, ErrUnresolved):
		return newRequestError(reason.ResultUnknown, "The platform did not say whether the change was accepted; read the object.")
	case errors.Is(err, objectapi.ErrNotFound):
		return newRequestError(reason.NotFound, "")
	case errors.Is(err, objectapi.ErrConflict):
		return newRequestError(reason.VersionStale, "")
	case errors.Is(err, objectapi.ErrTooLarge):
		return newRequestError(reason.BodyTooLarge, "")
	}
	return newRequestError(reason.StoreUnavailable, "Nothing was accepted.")
}

// respond writes body, or the error response if err is not nil.
func (s *Server) respond(c *app.RequestContext, status int, body any, err error) {
	if err != nil {
		s.respondError(c, toRequestError(err))
		return
	}
	writeJSON(c, status, body)
}

func (s *Server) respondError(c *app.RequestContext, r *requestError) {
	info := reason.Describe(r.body.Code)
	s.cfg.Metrics.CountRefusal(r.body.Code)
	ev := event.OperatorRefused
	if r.body.Code == reason.ResultUnknown {
		ev = event.OperatorResultUnknown
	}
	ev.Log(s.cfg.Log).
		Str("operator", currentOperator(c).Name).
		Str("method", string(c.Method())).
		Str("path", string(c.Path())).
		Str("reason", string(r.body.Code)).
		Send()
	c.Response.Header.Set("Ragwort-Reason", string(r.body.Code))
	if info.Retriable {
		c.Response.Header.Set("Retry-After", "1")
	}
	writeJSON(c, info.Status, ErrorResponse{Error: r.body})
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

// ifMatch returns the version that a change is conditional on. If-None-Match: *
// means version zero, which creates the object.
func ifMatch(c *app.RequestContext) (uint64, error) {
	if string(c.GetHeader("If-None-Match")) == "*" {
		return 0, nil
	}
	header := string(c.GetHeader("If-Match"))
	if header == "" {
		return 0, newRequestError(reason.VersionRequired, "Send the ETag that you read, or If-None-Match: * to create.")
	}
	text, err := strconv.Unquote(header)
	if err != nil {
		text = header
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newRequestError(reason.VersionStale, "If-Match is not an ETag of this API.")
	}
	return version, nil
}

// newStaleError returns a version-stale error with the object's current version
// and the changes since the version that the request gave.
func (s *Server) newStaleError(ctx context.Context, ch change) error {
	r := newRequestError(reason.VersionStale, "")
	current, err := s.cfg.Store.Get(ctx, ch.kind, ch.name)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return err
	}
	r.body.CurrentVersion = &current.Version
	if ch.ifVersion == 0 {
		return r
	}
	if base, ok := s.versionAt(ctx, ch.kind, ch.name, ch.ifVersion); ok {
		r.body.Changed = settings.Diff(base, current.Data)
	}
	return r
}

// versionAt reads the data of an object at a version from the platform's change
// log.
func (s *Server) versionAt(ctx context.Context, kind, name string, version uint64) ([]byte, bool) {
	log, _, err := s.cfg.Store.Watch(ctx, []string{kind}, version-1, 0)
	if err != nil {
		return nil, false
	}
	for _, entry := range log {
		if entry.Object.Name == name && entry.Object.Version == version {
			return entry.Object.Data, true
		}
	}
	return nil, false
}
