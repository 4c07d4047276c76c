package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Beat is how often a worker writes its entry (HeartbeatMs of the site).
const Beat = 1200 * time.Millisecond

// Worker is one worker of a service. The exported fields must not be changed after Start.
type Worker struct {
	ID, Service, Zone, Version string
	Slots                      int
	// Engine workers report their load and answer with streams of Events events, one each
	// Gap. Others answer with a body after Work.
	Engine bool
	Events int
	Gap    time.Duration
	Work   time.Duration
	// OnRun is called when a request begins to run, OnArrival when one reaches the worker.
	OnRun, OnArrival func(w *Worker, r *http.Request)

	store    *Store
	listener net.Listener
	server   *http.Server
	born     time.Time
	sequence atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool
	stop     chan struct{}
	stopped  sync.Once
}

// Start starts the worker on a free loopback port and registers it.
func (w *Worker) Start(store *Store) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.store, w.listener, w.born, w.stop = store, l, time.Now(), make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	w.register()
	go w.beat()
	return nil
}

// Leave announces that the worker leaves. It returns when the store has accepted that.
func (w *Worker) Leave() {
	w.leaving.Store(true)
	for w.register() == 0 {
		time.Sleep(50 * time.Millisecond)
	}
}

// Leaving reports whether Leave was called.
func (w *Worker) Leaving() bool {
	return w.leaving.Load()
}

// Exit ends the worker: its connections break, and its entry is removed.
func (w *Worker) Exit() {
	w.stopped.Do(func() {
		close(w.stop)
		_ = w.server.Close()
		w.store.Delete("servers", w.ID)
	})
}

// register writes the worker's entry and returns its revision, or zero if the store is away.
func (w *Worker) register() uint64 {
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	return w.store.Put("servers", w.ID, map[string]any{
		"Service": w.Service, "Address": w.listener.Addr().String(), "Zone": w.Zone, "Version": w.Version, "Slots": w.Slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": w.sequence.Add(1), "born": w.born.UnixMilli(),
	})
}

// Register writes the worker's entry at once, as after the return of the store.
func (w *Worker) Register() {
	w.register()
}

func (w *Worker) beat() {
	ticker := time.NewTicker(Beat)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.register()
		}
	}
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if w.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if w.Engine {
		h.Set("Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.Slots))
	}
	switch {
	case r.URL.Path == "/health":
		h.Set("Instance-Id", w.ID)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.ID:
		h.Set("Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.OnArrival != nil {
		w.OnArrival(w, r)
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	if w.OnRun != nil {
		w.OnRun(w, r)
	}
	h.Set("Response-Seal", "seal-"+w.ID)
	if w.Engine {
		w.stream(rw, r)
		return
	}
	if !pause(r, w.Work) {
		return
	}
	body := fmt.Sprintf("%s by %s for %s", id, w.ID, r.Header.Get("Tenant"))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = rw.Write([]byte(body))
}

// stream sends the events after the last one that the client has.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Type", "text/event-stream")
	// A missing header gives zero: the stream begins at its first event.
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(rw).Flush
	for i := after + 1; i <= w.Events; i++ {
		if !pause(r, w.Gap) {
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %s\n\n", i, w.Version, w.ID)
		_ = flush()
	}
}

// pause waits for d and returns false if the connection closes before.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
