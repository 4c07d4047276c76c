package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// workerProcess is a model worker. It speaks what PROTOCOL says of workers as far as the cases
// need it.
type workerProcess struct {
	id, version, crashPart string
	// limit is the Server-Limit that its answers name; empty for none.
	limit         string
	born          int64
	events        int
	gap           time.Duration
	running, runs atomic.Int64
}

// runWorker serves until it is killed.
func runWorker(args []string) error {
	w := &workerProcess{}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.version, "version", "", "")
	flags.StringVar(&w.crashPart, "crash", "", "")
	flags.StringVar(&w.limit, "limit", "", "")
	flags.Int64Var(&w.born, "born", 0, "")
	flags.IntVar(&w.events, "events", 0, "")
	addr := flags.String("addr", "", "")
	gap := flags.Int("gap", 0, "")
	if err := flags.Parse(args); err != nil {
		return err
	}
	w.gap = time.Duration(*gap) * time.Millisecond
	l, err := net.Listen("tcp4", *addr)
	if err != nil {
		return err
	}
	fmt.Println("ready")
	server := http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 5 * time.Second}
	return server.Serve(l)
}

func (w *workerProcess) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,64", w.running.Load()))
	if w.limit != "" {
		h.Set("Server-Limit", w.limit)
	}
	switch r.URL.Path {
	case "/health":
		h.Set("Instance-Id", w.id)
		w.writeJSON(rw, map[string]any{"born": w.born})
		return
	case "/report":
		w.writeJSON(rw, map[string]any{
			"Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Sequence": 1,
			"Waiting": 0, "Running": w.running.Load(), "KvUsed": 0, "KvTotal": 536244, "Handles": 0, "born": w.born,
		})
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Instance-Id", w.id)
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	shared := []string{}
	for _, part := range parts[:len(parts)-1] {
		name, _, _ := strings.Cut(part, ":")
		shared = append(shared, name)
	}
	crash := false
	for _, name := range shared {
		crash = crash || (w.crashPart != "" && name == w.crashPart)
	}
	w.say(map[string]any{"ID": id, "Crash": crash, "Shared": shared})
	if crash {
		// It crashes as it begins to write the answer.
		time.Sleep(20 * time.Millisecond)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	w.stream(rw, r, id)
}

func (w *workerProcess) writeJSON(rw http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data)
}

func (w *workerProcess) say(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = os.Stdout.Write(append(data, '\n'))
}

// stream writes the events after Last-Event-Id.
func (w *workerProcess) stream(rw http.ResponseWriter, r *http.Request, id string) {
	n := w.runs.Add(1)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	seal := fmt.Sprintf("%s.%d", w.id, n)
	write := w.framed(rw, seal)
	for event := first; event <= w.events; event++ {
		select {
		case <-time.After(w.gap):
		case <-r.Context().Done():
			return
		}
		last := ""
		if event == w.events {
			last = " last"
		}
		if write(fmt.Sprintf("id: %d\ndata: %s %s%s\n\n", event, w.id, w.version, last)) != nil {
			return
		}
	}
}

// framed returns a function that writes a part of a chunked answer.
func (w *workerProcess) framed(rw http.ResponseWriter, seal string) func(string) error {
	rw.Header().Set("Response-Seal", seal)
	rw.Header().Set("Weight-Versions", "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	return func(text string) error {
		if _, err := rw.Write([]byte(text)); err != nil {
			return err
		}
		return http.NewResponseController(rw).Flush()
	}
}
