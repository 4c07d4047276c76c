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

// compare looks whether another router holds what this one lacks, and asks for
// it. A router that hears the store asks only while it has nothing to serve by;
// the others rely on their failure domain, and on any other one while nobody there
// hears the store.
func (m *Mesh) compare(ctx context.Context, b *Beat, from netip.AddrPort, now time.Time) {
	config, targets := m.cfg.Directory.Marks()
	lacks := (config == 0 && b.Config > 0) || (targets == 0 && b.Targets > 0)
	hears := m.cfg.Directory.Hears()
	m.mu.Lock()
	relies := !hears && (b.Domain == m.cfg.Domain || !m.table.HearsWatcher(now))
	behind := relies && (b.Config > config || (b.Watches && b.Targets > 0 && b.Targets != targets))
	switch {
	case lacks:
		m.differ = now.Add(-repairAfter)
	case behind && m.differ.IsZero():
		m.differ = now
		if b.Config > config {
			m.differ = now.Add(-repairAfter)
		}
	case b.Watches && !behind:
		m.differ = time.Time{}
	}
	if b.Watches && config == b.Config && targets == b.Targets {
		m.cfg.Directory.Agreed()
	}
	fetch := (lacks || behind) && !m.fetching && now.Sub(m.differ) >= repairAfter
	m.fetching = m.fetching || fetch
	m.mu.Unlock()
	if fetch {
		go m.fetch(ctx, from)
	}
}

// fetch takes from another router what it holds, or from the store if that
// router does not give it in time.
func (m *Mesh) fetch(ctx context.Context, from netip.AddrPort) {
	defer func() {
		m.mu.Lock()
		m.fetching, m.differ = false, time.Time{}
		m.mu.Unlock()
	}()
	config, targets := m.cfg.Directory.Marks()
	held, err := m.ask(ctx, from, config, targets)
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "fetch").Str("from", from.String()).Err(err).Send()
		m.cfg.Directory.Refresh(ctx)
		return
	}
	m.cfg.Directory.TakeHeld(*held)
	event.MeshFetched.Log(m.cfg.Log).Str("from", from.String()).Uint64("config_before", config).
		Uint64("config", held.Config.Revision).Uint64("targets_revision", held.Revision).Send()
}

// ask asks another router for what it holds beyond a configuration's revision
// and a digest of targets.
func (m *Mesh) ask(ctx context.Context, from netip.AddrPort, config, targets uint64) (*directory.Held, error) {
	url := fmt.Sprintf("http://%s/held?config=%d&targets=%d", from, config, targets)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := m.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxHeld))
	if err != nil {
		return nil, err
	}
	m.cfg.Bytes("received", len(data))
	var held Held
	if err := cbor.Unmarshal(data, &held); err != nil {
		return nil, err
	}
	return heldOf(&held)
}

func heldOf(held *Held) (*directory.Held, error) {
	document, err := inflate(held.Config)
	if err != nil {
		return nil, err
	}
	h := &directory.Held{Revision: held.Revision}
	if len(document) > 0 {
		h.Config = platform.Object{Name: platform.ConfigName, Revision: held.ConfigRevision, Spec: document}
	}
	list, err := inflate(held.Targets)
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
		h.Targets = append(h.Targets, platform.Object{Name: c.Name, Revision: c.Revision, Spec: c.Spec})
	}
	return h, nil
}

// ServeHTTP tells another router what this one holds and that one lacks.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config, err1 := strconv.ParseUint(r.URL.Query().Get("config"), 10, 64)
	targets, err2 := strconv.ParseUint(r.URL.Query().Get("targets"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	held, err := m.beyond(config, targets)
	var data []byte
	if err == nil {
		data, err = cbor.Marshal(held)
	}
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "encode").Err(err).Send()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	m.cfg.Bytes("sent", len(data))
	// The asking router notices what it does not get.
	_, _ = w.Write(data)
}

// beyond is what this router holds beyond the given marks.
func (m *Mesh) beyond(config, targets uint64) (*Held, error) {
	h := m.cfg.Directory.Held()
	held := &Held{ConfigRevision: h.Config.Revision}
	if h.Config.Revision > config {
		var err error
		plain := func() ([]byte, error) { return h.Config.Spec, nil }
		if held.Config, err = m.deflated(&m.config, h.Config.Revision, plain); err != nil {
			return nil, err
		}
	}
	if h.Digest == targets {
		return held, nil
	}
	held.Revision = h.Revision
	var err error
	held.Targets, err = m.deflated(&m.targets, h.Digest, func() ([]byte, error) {
		list := make([]Change, 0, len(h.Targets))
		for _, o := range h.Targets {
			list = append(list, Change{Name: o.Name, Revision: o.Revision, Spec: o.Spec})
		}
		return cbor.Marshal(list)
	})
	return held, err
}

// deflated compresses what plain returns, once for all that ask for the same
// version.
func (m *Mesh) deflated(kept *deflated, mark uint64, plain func() ([]byte, error)) ([]byte, error) {
	m.copies.Lock()
	defer m.copies.Unlock()
	if kept.mark == mark && kept.data != nil {
		return kept.data, nil
	}
	text, err := plain()
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	data, err := deflate(text)
	if err != nil {
		return nil, err
	}
	*kept = deflated{mark, data}
	return data, nil
}
