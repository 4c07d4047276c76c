package operator

import (
	"context"
	"errors"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
)

// pathParams returns the kind and name in the request path.
func pathParams(c *app.RequestContext) (kind, name string, err error) {
	kind, name = c.Param("kind"), c.Param("name")
	if !slices.Contains(settings.Kinds(), kind) {
		return "", "", newRequestError(reason.UnknownPath, "No kind %q.", kind)
	}
	return kind, name, nil
}

// handleList returns the documents of a kind that lie in the operator's
// subtree.
func (s *Server) handleList(ctx context.Context, c *app.RequestContext) {
	kind, _, err := pathParams(c)
	if err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	objects, _, err := s.cfg.Store.List(ctx, kind)
	documents := []Document{}
	for _, o := range objects {
		if covers(currentOperator(c), o) {
			documents = append(documents, s.document(c, o))
		}
	}
	s.respond(c, 200, documents, err)
}

func (s *Server) document(c *app.RequestContext, o objectapi.Object) Document {
	if !hasRole(currentOperator(c), settings.RoleOwner) {
		o = redact(o)
	}
	return Document{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
}

// handleGet returns one document.
func (s *Server) handleGet(ctx context.Context, c *app.RequestContext) {
	kind, name, err := pathParams(c)
	if err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	o, err := s.read(ctx, c, kind, name)
	if err == nil {
		setETag(c, o.Version)
	}
	s.respond(c, 200, s.document(c, o), err)
}

// read reads an object, which must lie in the operator's subtree.
func (s *Server) read(ctx context.Context, c *app.RequestContext, kind, name string) (objectapi.Object, error) {
	o, err := s.cfg.Store.Get(ctx, kind, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Object{Kind: kind, Name: name}, newRequestError(reason.NotFound, "%s/%s", kind, name)
	}
	if err == nil && !covers(currentOperator(c), o) {
		return objectapi.Object{}, newRequestError(reason.Forbidden, "It is outside your subtree.")
	}
	return o, err
}

// handlePut creates or replaces a document.
func (s *Server) handlePut(ctx context.Context, c *app.RequestContext) {
	s.handleChange(ctx, c, func(context.Context, change) ([]byte, error) { return slices.Clone(c.Request.Body()), nil })
}

// handlePatch changes a document by a JSON merge patch.
func (s *Server) handlePatch(ctx context.Context, c *app.RequestContext) {
	s.handleChange(ctx, c, func(ctx context.Context, ch change) ([]byte, error) {
		o, err := s.read(ctx, c, ch.kind, ch.name)
		if err != nil {
			return nil, err
		}
		if o.Version != ch.ifVersion {
			return nil, s.newStaleError(ctx, ch)
		}
		data, err := settings.MergePatch(o.Data, c.Request.Body())
		if err != nil {
			return nil, newRequestError(reason.MalformedBody, "%v", err)
		}
		return data, nil
	})
}

// handleDelete deletes a document.
func (s *Server) handleDelete(ctx context.Context, c *app.RequestContext) {
	s.handleChange(ctx, c, func(context.Context, change) ([]byte, error) { return nil, nil })
}

// handleChange executes a conditional change. newData returns the new document,
// or nil to delete it.
func (s *Server) handleChange(ctx context.Context, c *app.RequestContext, newData func(context.Context, change) ([]byte, error)) {
	accepted, err := s.applyChange(ctx, c, newData)
	if err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	setETag(c, accepted.Version)
	if c.Query("wait") == "in-force" {
		accepted.InForce = s.waitInForce(c, accepted.Version)
	}
	writeJSON(c, 200, accepted)
}

func (s *Server) applyChange(ctx context.Context, c *app.RequestContext, newData func(context.Context, change) ([]byte, error)) (AcceptedChange, error) {
	kind, name, err := pathParams(c)
	if err != nil {
		return AcceptedChange{}, err
	}
	if err := checkRole(currentOperator(c), kind); err != nil {
		return AcceptedChange{}, err
	}
	ch := change{kind: kind, name: name}
	if ch.ifVersion, err = ifMatch(c); err != nil {
		return AcceptedChange{}, err
	}
	if ch.data, err = newData(ctx, ch); err != nil {
		return AcceptedChange{}, err
	}
	if err := s.checkSubtree(ctx, c, ch); err != nil {
		return AcceptedChange{}, err
	}
	if err := s.checkChange(ctx, ch); err != nil {
		return AcceptedChange{}, err
	}
	return s.commit(ctx, c, ch)
}

func checkRole(o settings.Operator, kind string) error {
	required := settings.RoleOperator
	if kind == settings.KindFleet {
		required = settings.RoleOwner
	}
	if !hasRole(o, required) {
		return newRequestError(reason.Forbidden, "The role %s is needed.", required)
	}
	return nil
}

// checkSubtree checks that the object lies in the operator's subtree both
// before and after the change.
func (s *Server) checkSubtree(ctx context.Context, c *app.RequestContext, ch change) error {
	o := currentOperator(c)
	if o.Subtree == "" {
		return nil
	}
	if ch.data != nil && !covers(o, objectapi.Object{Kind: ch.kind, Name: ch.name, Data: ch.data}) {
		return newRequestError(reason.Forbidden, "It is outside your subtree.")
	}
	if ch.ifVersion == 0 {
		return nil
	}
	_, err := s.read(ctx, c, ch.kind, ch.name)
	return err
}

// commit makes the change and logs it as an audit event.
func (s *Server) commit(ctx context.Context, c *app.RequestContext, ch change) (AcceptedChange, error) {
	version, err := s.writer.apply(ctx, ch)
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
		return AcceptedChange{}, s.newStaleError(ctx, ch)
	}
	if err != nil {
		return AcceptedChange{}, err
	}
	event.OperatorChange.Log(s.cfg.Log).
		Str("operator", currentOperator(c).Name).
		Str("method", string(c.Method())).
		Str("kind", ch.kind).
		Str("object", ch.name).
		Uint64("from", ch.ifVersion).
		Uint64("version", version).
		Send()
	return AcceptedChange{Kind: ch.kind, Name: ch.name, Version: version, Deleted: ch.data == nil}, nil
}
