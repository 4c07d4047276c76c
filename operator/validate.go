package operator

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
)

// checkChange rejects a change whose document has findings, or a deletion that
// would leave documents with references to the deleted one.
func (s *Server) checkChange(ctx context.Context, ch change) error {
	findings, err := s.validate(ctx, ch)
	if err != nil || len(findings) == 0 {
		return err
	}
	r := newRequestError(reason.InvalidDocument, "")
	r.body.Findings = findings
	return r
}

func (s *Server) validate(ctx context.Context, ch change) (settings.Findings, error) {
	snapshot := s.cfg.Snapshot()
	if ch.data == nil {
		return snapshot.CheckDelete(ch.kind, ch.name), nil
	}
	o := objectapi.Object{Kind: ch.kind, Name: ch.name, Data: ch.data}
	found := settings.CheckDocument(o)
	found = append(found, snapshot.CheckKeys(o)...)
	for _, r := range settings.References(o) {
		exists, err := s.exists(ctx, snapshot, r)
		if err != nil {
			return nil, err
		}
		if !exists {
			found = append(found, r.Missing(ch.kind, ch.name))
		}
	}
	return found, nil
}

// exists looks for a document in the settings in force, then on the platform,
// which may have accepted it since.
func (s *Server) exists(ctx context.Context, snapshot *settings.Snapshot, r settings.Reference) (bool, error) {
	if snapshot.HasReferenced(r.Kind, r.Name) {
		return true, nil
	}
	_, err := s.cfg.Store.Get(ctx, r.Kind, r.Name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
