package operator

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
)

// check refuses a change whose document has findings, or a deletion that would
// leave documents naming what is gone.
func (s *Server) check(ctx context.Context, ch change) error {
	findings, err := s.findings(ctx, ch)
	if err != nil || len(findings) == 0 {
		return err
	}
	r := refuse(reason.InvalidDocument, "")
	r.body.Findings = findings
	return r
}

func (s *Server) findings(ctx context.Context, ch change) (settings.Findings, error) {
	snapshot := s.cfg.Snapshot()
	if ch.data == nil {
		return snapshot.CheckDelete(ch.kind, ch.name), nil
	}
	o := objectapi.Object{Kind: ch.kind, Name: ch.name, Data: ch.data}
	found := settings.CheckDocument(o)
	found = append(found, snapshot.CheckKeys(o)...)
	for _, r := range settings.References(o) {
		there, err := s.exists(ctx, snapshot, r)
		if err != nil {
			return nil, err
		}
		if !there {
			found = append(found, r.Missing(ch.kind, ch.name))
		}
	}
	return found, nil
}

// exists looks for a document in the settings in force, then on the platform,
// which may have just accepted it.
func (s *Server) exists(ctx context.Context, snapshot *settings.Snapshot, r settings.Reference) (bool, error) {
	if snapshot.Has(r.Kind, r.Name) {
		return true, nil
	}
	_, err := s.cfg.Store.Get(ctx, r.Kind, r.Name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
