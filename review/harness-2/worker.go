package main

import (
	"bufio"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of a worker and its answers.
const (
	plainSlots, engineSlots = 16, 64
	answerBytes             = 800
	// firstPartBytes of an answer are sent before its work is done.
	firstPartBytes = 300
	workTime       = 60 * time.Millisecond
	eventGap       = 60 * time.Millisecond
	chatEvents     = 20
	// dossierGap is the pause between the events of a dossier.
	dossierGap = 150 * time.Millisecond
	// unframedShare is the share of answers that have neither a length nor chunks, as in the project's soak.
	unframedShare = 20
)

// worker is a process of a target.
type worker struct {
	id, service, zone, addr string
	// version is that of its software; empty means v1.
	version string
	born    int64
	seq     int
	proc    *process
	// runs counts the requests that the process began to run.
	runs atomic.Int64
}

// spec is the worker's entry in the store.
func (w *worker) spec(state string) map[string]any {
	w.seq++
	return map[string]any{
		"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": cmp.Or(w.version, "v1"), "Slots": slotsOf(w.service), "State": state,
		"ColdRemainingMs": 0, "Sequence": w.seq, "born": w.born,
	}
}

func slotsOf(service string) int {
	if service == engineService {
		return engineSlots
	}
	return plainSlots
}

// startWorker starts a process of a worker that listens on a socket, and writes its entry with the address at which it
// is reached once it serves.
func (e *env) startWorker(w *worker, l *net.TCPListener, addr string) error {
	file, err := l.File()
	if err != nil {
		return err
	}
	defer file.Close()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	w.addr, w.born = addr, time.Now().UnixMilli()
	cmd := exec.Command(self, "worker", w.id, w.service, strconv.FormatInt(w.born, 10))
	cmd.ExtraFiles = []*os.File{file}
	out, in, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = in, os.Stderr
	if w.proc, err = e.startProcess(w.id, cmd); err != nil {
		return err
	}
	_ = in.Close()
	ready := make(chan struct{})
	go e.copyRuns(w, out, ready)
	<-ready
	e.store.Put("servers", w.id, w.spec("ready"))
	e.logf("worker %s serves at %s, process born %d", w.id, addr, w.born)
	return nil
}

// copyRuns copies what a worker says to the record. It closes ready at the first line.
func (e *env) copyRuns(w *worker, out io.ReadCloser, ready chan struct{}) {
	defer out.Close()
	var once sync.Once
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		once.Do(func() { close(ready) })
		if strings.HasPrefix(lines.Text(), "runs ") {
			w.runs.Add(1)
		}
		e.logf("worker %s: %s", w.id, lines.Text())
	}
	once.Do(func() { close(ready) })
}

// fullBody is the whole answer of a worker to a plain request.
func fullBody(id string) string {
	var b strings.Builder
	for sum := sha256.Sum256([]byte(id)); b.Len() < answerBytes; sum = sha256.Sum256(sum[:]) {
		b.WriteString(hex.EncodeToString(sum[:]))
	}
	return b.String()[:answerBytes]
}

// eventText is an event of a chat.
func eventText(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
}

// isStream reports whether the answer to a path is a stream.
func isStream(path string) bool {
	return strings.HasPrefix(path, chatPath) || strings.HasPrefix(path, dossierPath)
}

// events returns how many events a stream has, which its path tells.
func events(path string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(strings.TrimPrefix(path, chatPath), dossierPath))
	if err != nil || n <= 0 {
		return chatEvents
	}
	return n
}

// runWorker is the worker's process. Its socket is the first inherited file.
func runWorker(args []string) {
	id, service, born := args[0], args[1], args[2]
	l, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	h := &workerHandler{id: id, service: service, born: born, slots: make(chan struct{}, slotsOf(service))}
	h.say("serving")
	_ = http.Serve(l, h)
}

// workerHandler serves the requests of a worker.
type workerHandler struct {
	id, service, born string
	slots             chan struct{}
	running           atomic.Int64
	runs              atomic.Int64
	mu                sync.Mutex
}

func (h *workerHandler) say(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (h *workerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == standinHealthPath:
		w.Header().Set("Instance-Id", h.id)
		w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", h.running.Load(), cap(h.slots)))
		return
	case r.URL.Path == standinReportPath && h.service == engineService:
		born, _ := strconv.ParseInt(h.born, 10, 64)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"Stage": "both", "Models": []any{}, "Busy": false, "Sequence": 0, "Waiting": 0, "Running": h.running.Load(), "KvUsed": 0, "KvTotal": 536244, "Handles": 0, "born": born,
		})
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	switch expected := r.Header.Get("Expect-Instance"); {
	case attempt == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != h.id:
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case h.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	h.running.Add(1)
	defer func() {
		h.running.Add(-1)
		<-h.slots
	}()
	n := h.runs.Add(1)
	unframed := int(sha256.Sum256([]byte(attempt))[0])%100 < unframedShare
	h.say("runs %s (run %d, unframed %v)", attempt, n, unframed)
	parts := []string{fullBody(attempt)[:firstPartBytes], fullBody(attempt)[firstPartBytes:]}
	kind, gap := "application/json", workTime
	if isStream(r.URL.Path) {
		kind, gap, parts = "text/event-stream", eventGap, nil
		if strings.HasPrefix(r.URL.Path, dossierPath) {
			gap = dossierGap
		}
		// A run that goes on has the name of the request that began the stream.
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := after; i < events(r.URL.Path); i++ {
			parts = append(parts, eventText(cmp.Or(r.Header.Get("Resumes"), attempt), i+1))
		}
	}
	if unframed {
		h.answerUnframed(w, attempt, kind, parts, gap)
		return
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Seal", h.id+"."+attempt)
	w.Header().Set("Content-Type", kind)
	if kind == "application/json" {
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(gap)
		}
		if _, err := io.WriteString(w, part); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	h.say("answered %s", attempt)
}

// answerUnframed sends an answer that ends with its connection.
func (h *workerHandler) answerUnframed(w http.ResponseWriter, attempt, kind string, parts []string, gap time.Duration) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", attempt, h.id, attempt, kind)
	for i, part := range parts {
		if i > 0 {
			time.Sleep(gap)
		}
		if _, err := io.WriteString(c, head+part); err != nil {
			return
		}
		head = ""
	}
	h.say("answered %s", attempt)
}
