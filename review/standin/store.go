// Package standin implements the stand-ins of the review: the platform's metadata store,
// model and plain workers, the network between routers, and router processes started with
// the commands of the deploy file. They follow the users' pages and share no code with the
// router.
package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of entries on one page of a list.
const pageSize = 50

// object is one object of the store.
type object struct {
	Metadata struct {
		Name       string
		Revision   uint64
		CreatedRev uint64
		Finalizers []string
		Deleting   bool
	}
	Spec   json.RawMessage
	Status json.RawMessage
}

// change is one entry of the store's history.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// Copy is a copy of the store's data as of a moment.
type Copy struct {
	revision uint64
	kinds    map[string]map[string]object
	history  []change
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	era      int
	away     bool
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
}

// StartStore starts a store on a free loopback port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, era: 1, revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns host:port of the store.
func (s *Store) Addr() string {
	return s.listener.Addr().String()
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// Put writes an object as the operator or a worker does and returns its revision, or zero
// if the store is away.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	return s.put(kind, name, data).Metadata.Revision
}

// Delete removes an object and reports whether the store was there to do so.
func (s *Store) Delete(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.remove(kind, name)
	return true
}

// TakeCopy returns a copy of all data.
func (s *Store) TakeCopy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, kinds: map[string]map[string]object{}, history: slices.Clone(s.history)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// Leave makes the store refuse all calls until Return or Restore.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// Return ends an absence without loss of data.
func (s *Store) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.notify()
}

// Restore ends an absence with the data of a copy and raises the era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.revision, s.kinds, s.history = false, c.revision, c.kinds, c.history
	s.era++
	s.notify()
}

// Revision returns the store's revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Spec returns the spec of an object, or nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// notify wakes the watches in progress; s.mu must be held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores an object; s.mu must be held.
func (s *Store) put(kind, name string, spec json.RawMessage) object {
	old, exists := s.kinds[kind][name]
	if exists && bytes.Equal(old.Spec, spec) {
		return old
	}
	s.revision++
	o := object{Spec: spec}
	o.Metadata.Name, o.Metadata.Revision, o.Metadata.CreatedRev = name, s.revision, s.revision
	if exists {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{kind, s.revision, o, false})
	s.notify()
	return o
}

// remove deletes an object; s.mu must be held.
func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.history = append(s.history, change{kind, s.revision, o, true})
	s.notify()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("Watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind, query.Get("After"))
	case r.Method == http.MethodGet:
		s.serveGet(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.kinds[kind]))
	names = slices.DeleteFunc(names, func(name string) bool { return name <= after })
	entries := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		entries = append(entries, s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Entries": entries, "HasMore": len(names) > pageSize, "AsOf": revision})
}

// serveWrite handles POST, PUT and DELETE. A revision that is not the object's gets 409.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var o object
	if r.Method != http.MethodDelete && json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wanted := o.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		if wanted, err = strconv.ParseUint(text, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && wanted != 0 && wanted != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

// serveWatch answers as soon as there is a change after a revision. A revision that the
// store does not have gets 410.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err1 := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		away, era, revision, changed := s.away, s.era, s.revision, s.changed
		events := s.eventsSince(kind, from)
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case from > revision:
			w.Header().Set("Store-Era", strconv.Itoa(era))
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			w.Header().Set("Store-Era", strconv.Itoa(era))
			reply(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes of a kind after a revision; s.mu must be held.
func (s *Store) eventsSince(kind string, from uint64) []map[string]any {
	events := []map[string]any{}
	for _, c := range s.history {
		if c.kind == kind && c.revision > from {
			events = append(events, map[string]any{"Object": c.object, "Deleted": c.deleted})
		}
	}
	return events
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}
