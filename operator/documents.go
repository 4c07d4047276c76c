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

// named returns the kind and name of the path.
func named(c *app.RequestContext) (kind, name string, err error) {
	kind, name = c.Param("kind"), c.Param("name")
	if !slices.Contains(settings.Kinds(), kind) {
		return "", "", refuse(reason.UnknownPath, "No kind %q.", kind)
	}
	return kind, name, nil
}

// list shows the documents of a kind in the operator's subtree.
func (s *Server) list(ctx context.Context, c *app.RequestContext) {
	kind, _, err := named(c)
	if err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	objects, _, err := s.cfg.Store.List(ctx, kind)
	documents := []Document{}
	for _, o := range objects {
		if covers(operatorOf(c), o) {
			documents = append(documents, s.document(c, o))
		}
	}
	s.respond(c, 200, documents, err)
}

func (s *Server) document(c *app.RequestContext, o objectapi.Object) Document {
	if !atLeast(operatorOf(c), settings.RoleOwner) {
		o = redact(o)
	}
	return Document{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
}

// get shows one document.
func (s *Server) get(ctx context.Context, c *app.RequestContext) {
	kind, name, err := named(c)
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

// read reads an object that must lie in the operator's subtree.
func (s *Server) read(ctx context.Context, c *app.RequestContext, kind, name string) (objectapi.Object, error) {
	o, err := s.cfg.Store.Get(ctx, kind, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Object{Kind: kind, Name: name}, refuse(reason.NotFound, "%s/%s", kind, name)
	}
	if err == nil && !covers(operatorOf(c), o) {
		return objectapi.Object{}, refuse(reason.Forbidden, "It is outside your subtree.")
	}
	return o, err
}

// put creates or replaces a document.
func (s *Server) put(ctx context.Context, c *app.RequestContext) {
	s.change(ctx, c, func(context.Context, change) ([]byte, error) { return slices.Clone(c.Request.Body()), nil })
}

// patch changes a document by a JSON merge patch.
func (s *Server) patch(ctx context.Context, c *app.RequestContext) {
	s.change(ctx, c, func(ctx context.Context, ch change) ([]byte, error) {
		o, err := s.read(ctx, c, ch.kind, ch.name)
		if err != nil {
			return nil, err
		}
		if o.Version != ch.ifVersion {
			return nil, s.stale(ctx, ch)
		}
		data, err := settings.MergePatch(o.Data, c.Request.Body())
		if err != nil {
			return nil, refuse(reason.MalformedBody, "%v", err)
		}
		return data, nil
	})
}

// remove deletes a document.
func (s *Server) remove(ctx context.Context, c *app.RequestContext) {
	s.change(ctx, c, func(context.Context, change) ([]byte, error) { return nil, nil })
}

// change runs a conditional change whose new document next returns; nil
// deletes.
func (s *Server) change(ctx context.Context, c *app.RequestContext, next func(context.Context, change) ([]byte, error)) {
	accepted, err := s.accept(ctx, c, next)
	if err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	setETag(c, accepted.Version)
	if c.Query("wait") == "in-force" {
		accepted.InForce = s.inForce(c, accepted.Version)
	}
	writeJSON(c, 200, accepted)
}

func (s *Server) accept(ctx context.Context, c *app.RequestContext, next func(context.Context, change) ([]byte, error)) (Accepted, error) {
	kind, name, err := named(c)
	if err != nil {
		return Accepted{}, err
	}
	if err := mayChange(operatorOf(c), kind); err != nil {
		return Accepted{}, err
	}
	ch := change{kind: kind, name: name}
	if ch.ifVersion, err = ifMatch(c); err != nil {
		return Accepted{}, err
	}
	if ch.data, err = next(ctx, ch); err != nil {
		return Accepted{}, err
	}
	if err := s.permit(ctx, c, ch); err != nil {
		return Accepted{}, err
	}
	if err := s.check(ctx, ch); err != nil {
		return Accepted{}, err
	}
	return s.commit(ctx, c, ch)
}

func mayChange(o settings.Operator, kind string) error {
	needed := settings.RoleOperator
	if kind == settings.KindFleet {
		needed = settings.RoleOwner
	}
	if !atLeast(o, needed) {
		return refuse(reason.Forbidden, "The role %s is needed.", needed)
	}
	return nil
}

// permit checks that both the object as it is and as it is to be lie in the
// operator's subtree.
func (s *Server) permit(ctx context.Context, c *app.RequestContext, ch change) error {
	o := operatorOf(c)
	if o.Subtree == "" {
		return nil
	}
	if ch.data != nil && !covers(o, objectapi.Object{Kind: ch.kind, Name: ch.name, Data: ch.data}) {
		return refuse(reason.Forbidden, "It is outside your subtree.")
	}
	if ch.ifVersion == 0 {
		return nil
	}
	_, err := s.read(ctx, c, ch.kind, ch.name)
	return err
}

// commit makes the change and logs it.
func (s *Server) commit(ctx context.Context, c *app.RequestContext, ch change) (Accepted, error) {
	version, err := s.writer.apply(ctx, ch)
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
		return Accepted{}, s.stale(ctx, ch)
	}
	if err != nil {
		return Accepted{}, err
	}
	event.OperatorChange.Log(s.cfg.Log).
		Str("operator", operatorOf(c).Name).
		Str("method", string(c.Method())).
		Str("kind", ch.kind).
		Str("object", ch.name).
		Uint64("from", ch.ifVersion).
		Uint64("version", version).
		Send()
	return Accepted{Kind: ch.kind, Name: ch.name, Version: version, Deleted: ch.data == nil}, nil
}
