package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/review/standin"
)

// Streams that a client takes up again last 14 s of their time budget of 15 s.
const (
	streamEvents   = 70
	streamGap      = 200 * time.Millisecond
	streamDeadline = 15 * time.Second
)

// addSiteWorkers starts the workers of the site: twelve engines and three of the desk.
func (e *environment) addSiteWorkers(onRun func(*standin.Worker, *http.Request)) error {
	zones := []string{"ub-east", "ub-west", "ub-north"}
	for i := range 15 {
		w := &standin.Worker{ID: fmt.Sprintf("i-%02d", i), Service: modelService, Zone: zones[i%3], Version: "v1", Slots: 64, Engine: true, Events: 64, Gap: 20 * time.Millisecond, OnRun: onRun}
		if i >= 12 {
			w.Service, w.Slots, w.Engine, w.Work = deskService, 6, false, 60*time.Millisecond
		}
		if err := e.addWorker(w); err != nil {
			return err
		}
		// The workers' beats are spread over time.
		time.Sleep(standin.Beat / 15)
	}
	return nil
}

// versionedWorker returns an engine of a software version, which records what it runs.
func (e *environment) versionedWorker(n int, version string) *standin.Worker {
	return &standin.Worker{
		ID: fmt.Sprintf("i-%s-%02d", version, n), Service: modelService, Zone: []string{"ub-east", "ub-west", "ub-north"}[n%3], Version: version,
		Slots: 64, Engine: true, Events: streamEvents, Gap: streamGap,
		OnRun: func(w *standin.Worker, r *http.Request) {
			e.record("run %s at %s (%s) after event %q", r.Header.Get("Attempt-Id"), w.ID, w.Version, r.Header.Get("Last-Event-Id"))
		},
	}
}

// stop stops a router with SIGTERM, and with SIGKILL after the grace period.
func (e *environment) stop(r *standin.Router) {
	e.record("%s gets SIGTERM", r.Name)
	select {
	case <-r.Signal(syscall.SIGTERM):
	case <-time.After(standin.Grace):
		<-r.Signal(syscall.SIGKILL)
	}
	e.record("%s has ended", r.Name)
}

// send makes a client attempt and records it.
func (e *environment) send(a standin.Ask) standin.Answer {
	e.record("sent %s to %s: %s %s, key %s, after event %d, resumes %q", a.ID, a.Router.Name, a.Method, a.Path, a.Key, a.After, a.Resumes)
	return standin.Send(a)
}

// streamResult is what a client got of a stream over its tries.
type streamResult struct {
	versions []string
	last     int
	resumed  bool
	// resumedAt and resumedWhen tell where and when it was taken up again, goesOn whether an
	// event followed.
	resumedAt   string
	resumedWhen time.Time
	goesOn      bool
	end         string
}

// readStream reads a stream from a router and takes it up once at another one if it breaks.
func (e *environment) readStream(i int, router *standin.Router) streamResult {
	var result streamResult
	onEvent := func(id int, data string) {
		version, _, _ := strings.Cut(data, " ")
		if len(result.versions) == 0 || result.versions[len(result.versions)-1] != version {
			result.versions = append(result.versions, version)
		}
		result.last = id
	}
	first := fmt.Sprintf("walk-%d", i)
	started := time.Now()
	ask := standin.Ask{Router: router, Method: http.MethodPost, Path: "/walk/talk", ID: first, Key: keyOfTwo, Body: "prompt", Deadline: streamDeadline, OnEvent: onEvent}
	answer := e.send(ask)
	e.record("answer %s from %s: %d whole=%v, last event %d, error %v", first, router.Name, answer.Status, answer.Whole, result.last, answer.Err)
	result.end = fmt.Sprint(answer.Status)
	left := streamDeadline - time.Since(started)
	if answer.Whole || result.last == 0 || left < 200*time.Millisecond {
		return result
	}
	result.resumed = true
	ask.Router, ask.ID, ask.Deadline, ask.After, ask.Resumes = e.otherRouter(i, router), first+"-again", left, result.last, first
	result.resumedAt, result.resumedWhen = ask.Router.Name, time.Now()
	before := result.last
	answer = e.send(ask)
	result.goesOn = result.last > before
	e.record("answer %s from %s: %d whole=%v, last event %d, error %v", ask.ID, ask.Router.Name, answer.Status, answer.Whole, result.last, answer.Err)
	result.end = fmt.Sprintf("%s, again %d", result.end, answer.Status)
	return result
}

// otherRouter returns a router in service other than the given one, chosen by n.
func (e *environment) otherRouter(n int, not *standin.Router) *standin.Router {
	for i := range e.fleet.Routers {
		if r := e.serviceRouter(n + i); r != not {
			return r
		}
	}
	return not
}
