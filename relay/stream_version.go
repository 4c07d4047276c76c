package relay

import (
	"context"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/streamversion"
)

// StreamVersions tells at which software version resumable streams run. It must be safe for
// concurrent use. streamversion.Service implements it.
type StreamVersions interface {
	// Begin returns the version of a new stream, empty for any, or false if that is not known.
	Begin(ctx context.Context, service fleet.ServiceName, key streamversion.Key) (fleet.SoftwareVersion, bool)
	// RecordBegun records at which version a new stream began. It is called before its first
	// event is forwarded.
	RecordBegun(service fleet.ServiceName, key streamversion.Key, version fleet.SoftwareVersion)
	// TargetsConfirmed reports whether the entries of the targets were confirmed a moment ago.
	TargetsConfirmed() bool
	// Resume returns the version at which a stream began, or false if that is not known.
	Resume(ctx context.Context, stream streamversion.Stream) (fleet.SoftwareVersion, bool)
}

// soleVersions implements StreamVersions for a router that knows only its view: streams are
// resumed while all targets have the same version.
type soleVersions struct {
	view func() *catalog.View
}

// Begin implements StreamVersions.
func (soleVersions) Begin(context.Context, fleet.ServiceName, streamversion.Key) (fleet.SoftwareVersion, bool) {
	return "", true
}

// TargetsConfirmed implements StreamVersions.
func (soleVersions) TargetsConfirmed() bool { return true }

// RecordBegun implements StreamVersions.
func (soleVersions) RecordBegun(fleet.ServiceName, streamversion.Key, fleet.SoftwareVersion) {}

// Resume implements StreamVersions.
func (v soleVersions) Resume(_ context.Context, stream streamversion.Stream) (fleet.SoftwareVersion, bool) {
	view := v.view()
	sole := fleet.SoftwareVersion("")
	for t := range view.All(stream.Service) {
		if sole != "" && t.Version != sole {
			return "", false
		}
		sole = t.Version
	}
	return sole, true
}

// streamKey returns the key of the request's stream, which is that of the request that began
// it, and whether the client named that one.
func (s *requestState) streamKey() (key streamversion.Key, named bool) {
	id := s.call.ID
	if s.call.TakesUp {
		id, named = s.call.Resumes, s.call.Resumes != ""
	}
	account := fleet.AccountName("")
	if s.account != nil {
		account = s.account.Name
	}
	return streamversion.NewKey(account, id), named
}

// bindVersion determines the software version at which a resumable stream has to run. It
// refuses a stream that cannot go on, and returns false.
func (s *requestState) bindVersion(ctx context.Context) bool {
	if s.route.RunPolicy != catalog.Resumable {
		return true
	}
	ctx, cancel := context.WithDeadlineCause(ctx, s.deadline, errRequestDeadline)
	defer cancel()
	versions := s.relay.cfg.StreamVersions
	key, named := s.streamKey()
	if !s.call.TakesUp {
		version, ok := versions.Begin(ctx, s.service, key)
		if !ok {
			s.refuse(reason.StreamVersionsUnconfirmed, otherRouterRetryAfter)
			return false
		}
		s.version = version
		return true
	}
	version, ok := versions.Resume(ctx, streamversion.Stream{Service: s.service, Key: key, Named: named, Request: s.call.ID})
	if !ok {
		s.refuse(reason.StreamVersionUnknown, 0)
		return false
	}
	s.version = version
	view := s.relay.cfg.View()
	for _, t := range view.Targets[s.service] {
		if t.Version == version {
			return true
		}
	}
	if evacuatedOf(view, s.service, version) {
		s.refuse(reason.DomainEvacuated, evacuatedRetryAfter)
		return false
	}
	s.refuse(reason.StreamVersionGone, 0)
	return false
}

// keepVersion keeps the rest of a resumable stream at the version of the target that sent
// its first event, and records that it began there.
func (s *requestState) keepVersion(t *catalog.Target) {
	if s.route.RunPolicy != catalog.Resumable || s.hasEvent || s.events > 0 {
		return
	}
	s.version = t.Version
	key, _ := s.streamKey()
	s.relay.cfg.StreamVersions.RecordBegun(s.service, key, t.Version)
}
