package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/platform"
)

// syncIfBehind compares this router's data with that of the sender of a heartbeat
// and fetches the sender's data if this router lacks some. A router with a live watch
// of the store does not fetch. A router without configuration or targets fetches at
// once from a router of its failure domain that has them, and after foreignViewDelay
// from any router. All others follow the routers of their failure domain, or of any
// domain while no router of their own domain has a live watch: they fetch a newer
// configuration at once, and targets that differ from those of a watching router, and
// are not older, after syncDelay. A configuration that becomes newer during that delay
// is fetched at its end. targetsAge is how old what the sender knows of the targets is, negative if it is not known.
func (m *Mesh) syncIfBehind(ctx context.Context, hb *Heartbeat, from netip.AddrPort, now time.Time, targetsAge time.Duration) {
	versions := m.cfg.Directory.Versions()
	missing := (versions.Config.Revision == 0 && hb.ConfigRevision > 0) || (versions.TargetsDigest == 0 && hb.TargetsDigest > 0)
	if missing && hb.Domain != m.cfg.Domain && now.Sub(m.startedAt) < foreignViewDelay {
		// Otherwise a restarted fleet would fetch all its views from the seeds.
		return
	}
	live := m.cfg.Directory.HasLiveWatch()
	m.mu.Lock()
	reliesOnPeers := !live && (hb.Domain == m.cfg.Domain || !m.table.HasDomainWatcher(now))
	sameTargets := versions.TargetsDigest == hb.TargetsDigest
	newerConfig := hb.config().NewerThan(versions.Config)
	behind := reliesOnPeers && (newerConfig || (!sameTargets && hasNewerTargets(hb, versions)))
	// The store itself lacks what it lost with its last era.
	behind = behind || (newerConfig && platform.EraOf(hb.ConfigRevision) < platform.EraOf(versions.Config.Revision))
	switch {
	case missing:
		m.behindSince = now.Add(-syncDelay)
	case behind && m.behindSince.IsZero():
		m.behindSince = now
		if newerConfig {
			m.behindSince = now.Add(-syncDelay)
		}
	case hb.Watching && sameTargets && !behind:
		m.behindSince = time.Time{}
	}
	if hb.Watching && versions.Config.Revision == hb.ConfigRevision && sameTargets {
		m.cfg.Directory.ConfirmCurrent(targetsAge)
	}
	fetch := (missing || behind) && !m.fetching && now.Sub(m.behindSince) >= syncDelay
	m.fetching = m.fetching || fetch
	m.mu.Unlock()
	if fetch {
		go m.fetchSnapshot(ctx, from)
	}
}

// config returns the version of the sender's configuration.
func (hb *Heartbeat) config() directory.ConfigVersion {
	return directory.ConfigVersion{Version: hb.ConfigVersion, Revision: hb.ConfigRevision}
}

// hasNewerTargets reports whether the sender of a heartbeat has a live watch of the
// store and read its targets no earlier than the newest change that this router knows.
// A watcher that gathers changes for longer than another one is behind this router for
// a moment; its list would bring nothing.
func hasNewerTargets(hb *Heartbeat, own directory.Versions) bool {
	return hb.Watching && hb.TargetsDigest > 0 && (hb.TargetsRevision == 0 || hb.TargetsRevision >= own.TargetsRevision)
}

// fetchSnapshot applies another router's data, or reads the store if the fetch fails.
func (m *Mesh) fetchSnapshot(ctx context.Context, from netip.AddrPort) {
	defer func() {
		m.mu.Lock()
		m.fetching, m.behindSince = false, time.Time{}
		m.mu.Unlock()
	}()
	versions := m.cfg.Directory.Versions()
	snapshot, err := m.requestSnapshot(ctx, from, versions.Config, versions.TargetsDigest)
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "fetch").Str("from", from.String()).Err(err).Send()
		m.cfg.Directory.Refresh(ctx)
		return
	}
	m.cfg.Directory.ApplySnapshot(*snapshot)
	event.ViewFetched.Log(m.cfg.Log).Str("from", from.String()).Uint64("config_before", versions.Config.Revision).
		Uint64("config", snapshot.Config.Revision).Uint64("targets_revision", snapshot.TargetsRevision).Send()
}

// requestSnapshot fetches the data of another router that differs from the given
// version of the configuration and digest of targets.
func (m *Mesh) requestSnapshot(ctx context.Context, from netip.AddrPort, config directory.ConfigVersion, targets uint64) (*directory.Snapshot, error) {
	url := fmt.Sprintf("http://%s/held?config=%d&version=%d&targets=%d", from, config.Revision, config.Version, targets)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := m.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxSnapshotBytes))
	if err != nil {
		return nil, err
	}
	m.cfg.CountBytes("received", len(data))
	var wire Snapshot
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	return decodeSnapshot(&wire)
}

// decodeSnapshot decodes and decompresses a snapshot.
func decodeSnapshot(wire *Snapshot) (*directory.Snapshot, error) {
	document, err := inflate(wire.Config)
	if err != nil {
		return nil, err
	}
	snapshot := &directory.Snapshot{TargetsRevision: wire.TargetsRevision, Evacuations: wire.Evacuations.decode(time.Now())}
	if len(document) > 0 {
		snapshot.Config = platform.Object{Name: platform.ConfigName, Revision: wire.ConfigRevision, Spec: document}
	}
	list, err := inflate(wire.Targets)
	if err != nil {
		return nil, err
	}
	var changes []Change
	if len(list) > 0 {
		if err := cbor.Unmarshal(list, &changes); err != nil {
			return nil, fmt.Errorf("mesh: targets: %w", err)
		}
	}
	for _, c := range changes {
		snapshot.Targets = append(snapshot.Targets, platform.Object{Name: c.Name, Revision: c.Revision, Spec: c.Spec})
	}
	return snapshot, nil
}

// ServeHTTP serves the data of this router that the requesting router lacks. The
// query parameters are that router's configuration revision and digest of targets, and the
// operator's version of the configuration, which earlier builds do not send.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config, err1 := strconv.ParseUint(r.URL.Query().Get("config"), 10, 64)
	targets, err2 := strconv.ParseUint(r.URL.Query().Get("targets"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		version = 0
	}
	snapshot, err := m.snapshotSince(directory.ConfigVersion{Version: version, Revision: config}, targets)
	var data []byte
	if err == nil {
		data, err = cbor.Marshal(snapshot)
	}
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "encode").Err(err).Send()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	m.cfg.CountBytes("sent", len(data))
	// Write errors are ignored: the requesting router detects an incomplete reply.
	_, _ = w.Write(data)
}

// snapshotSince returns this router's configuration if it is newer than another one,
// and its targets if their digest differs from the given one.
func (m *Mesh) snapshotSince(config directory.ConfigVersion, targets uint64) (*Snapshot, error) {
	local := m.cfg.Directory.Snapshot()
	wire := &Snapshot{ConfigRevision: local.Config.Revision, Evacuations: newEvacuationReport(local.Evacuations, time.Now())}
	if own := (directory.ConfigVersion{Version: local.ConfigVersion, Revision: local.Config.Revision}); own.NewerThan(config) {
		var err error
		produceConfig := func() ([]byte, error) { return local.Config.Spec, nil }
		if wire.Config, err = m.deflateCached(&m.deflatedConfig, local.Config.Revision, produceConfig); err != nil {
			return nil, err
		}
	}
	if local.TargetsDigest == targets {
		return wire, nil
	}
	wire.TargetsRevision = local.TargetsRevision
	var err error
	wire.Targets, err = m.deflateCached(&m.deflatedTargets, local.TargetsDigest, func() ([]byte, error) {
		list := make([]Change, 0, len(local.Targets))
		for _, o := range local.Targets {
			list = append(list, Change{Name: o.Name, Revision: o.Revision, Spec: o.Spec})
		}
		return cbor.Marshal(list)
	})
	return wire, err
}

// deflateCached returns the compressed output of produce. It is compressed once per
// version and kept in cached.
func (m *Mesh) deflateCached(cached *deflatedCopy, version uint64, produce func() ([]byte, error)) ([]byte, error) {
	m.deflatedMu.Lock()
	defer m.deflatedMu.Unlock()
	if cached.version == version && cached.data != nil {
		return cached.data, nil
	}
	raw, err := produce()
	if err != nil {
		return nil, fmt.Errorf("mesh: encode snapshot: %w", err)
	}
	data, err := deflate(raw)
	if err != nil {
		return nil, err
	}
	*cached = deflatedCopy{version, data}
	return data, nil
}
