package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/plain"
)

// ServiceFaults are the fault knobs of a plain service. Rates are the share of
// calls, 0 to 1.
type ServiceFaults struct {
	// Delay is waited before a call is executed.
	Delay time.Duration
	// LateRate is how often the answer comes LateBy late.
	LateRate float64
	LateBy   time.Duration
	// LostRate is how often the call is executed and its answer lost.
	LostRate float64
	// CrossedRate is how often an answer carries another attempt's id.
	CrossedRate float64
	// TruncatedRate is how often an answer ends before its stated length.
	TruncatedRate float64
	// RefuseRate is how often a call is refused before it is executed.
	RefuseRate float64
	// CrashAfter kills the service when it has executed so many calls; zero
	// means never.
	CrashAfter int
}

// ServiceConfig configures a stand-in plain service.
type ServiceConfig struct {
	// Addr is host:port to listen on; empty picks a port on loopback.
	Addr   string
	ID     fleet.TargetID
	Seed   uint64
	Faults ServiceFaults
}

// ServiceStats is what a service counted since its start.
type ServiceStats struct {
	Running  int
	Peak     int
	Executed int
	Refused  int
	// LastAccepted is when the latest call was accepted.
	LastAccepted time.Time
}

// ServiceAnswer is the JSON body of a service's answer.
type ServiceAnswer struct {
	Target fleet.TargetID `json:"target"`
	Method string         `json:"method"`
	Path   string         `json:"path"`
	Key    string         `json:"key"`
	// Run is how often the key has been executed by this instance, this call
	// included.
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

// Service is a stand-in plain service that counts executions by key. It is
// safe for concurrent use.
type Service struct {
	config ServiceConfig
	dice   *dice
	host   *host
	stop   chan struct{}
	once   sync.Once

	mu         sync.Mutex
	faults     ServiceFaults
	leaving    bool
	stats      ServiceStats
	executions map[string]int
}

// StartService starts a service.
func StartService(c ServiceConfig) (*Service, error) {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	s := &Service{
		config: c, dice: newDice(c.Seed), faults: c.Faults,
		stop: make(chan struct{}), executions: map[string]int{},
	}
	h, err := startHost(c.Addr, func(h *server.Hertz) { h.NoRoute(s.serve) })
	if err != nil {
		return nil, err
	}
	s.host = h
	return s, nil
}

// Addr is host:port of the service's listener.
func (s *Service) Addr() string {
	return s.host.addr()
}

// ID is the target's name.
func (s *Service) ID() fleet.TargetID {
	return s.config.ID
}

// SetLeaving makes the service refuse new calls, or take them again.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetFaults replaces the fault knobs.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stats returns what was counted so far.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Executions returns how often each key was executed. The key of a call is its
// Idempotency-Key, else the member "key" of its JSON body, else its path.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		counts[k] = n
	}
	return counts
}

// Close is a planned stop: calls under way finish first.
func (s *Service) Close() error {
	s.SetLeaving(true)
	for deadline := time.Now().Add(closeLimit); time.Now().Before(deadline); {
		if s.Stats().Running == 0 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	s.Kill()
	return nil
}

// Kill is an abrupt end: all connections are reset.
func (s *Service) Kill() {
	s.once.Do(func() { close(s.stop) })
	s.host.kill()
}

func (s *Service) serve(_ context.Context, c *app.RequestContext) {
	c.Header(plain.HeaderAttempt, string(c.GetHeader(plain.HeaderAttempt)))
	f, ok := s.enter()
	if !ok {
		c.Header(plain.HeaderRefused, "true")
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.pause(f.Delay)
	body := s.execute(c)
	if s.dice.hit(f.LateRate) {
		s.pause(f.LateBy)
	}
	switch {
	case s.dice.hit(f.LostRate):
		_ = c.GetConn().Close()
	case s.dice.hit(f.TruncatedRate):
		sendShort(c, body)
	default:
		if s.dice.hit(f.CrossedRate) {
			c.Header(plain.HeaderAttempt, strings.Repeat("0", 32))
		}
		c.Data(http.StatusOK, "application/json", body)
	}
}

func (s *Service) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-s.stop:
	}
}

func (s *Service) enter() (ServiceFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.dice.hit(s.faults.RefuseRate) {
		s.stats.Refused++
		return s.faults, false
	}
	s.stats.Running++
	s.stats.Peak = max(s.stats.Peak, s.stats.Running)
	s.stats.LastAccepted = time.Now()
	return s.faults, true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
}

// execute runs the call and returns the body of its answer.
func (s *Service) execute(c *app.RequestContext) []byte {
	key := callKey(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executed++
	s.executions[key]++
	if f := s.faults; f.CrashAfter > 0 && s.stats.Executed >= f.CrashAfter {
		go s.Kill()
	}
	body, _ := json.Marshal(ServiceAnswer{
		Target: s.config.ID, Method: string(c.Method()), Path: string(c.Request.RequestURI()),
		Key: key, Run: s.executions[key], Echo: string(c.Request.Body()),
	})
	return body
}

func callKey(c *app.RequestContext) string {
	if key := string(c.GetHeader(plain.HeaderIdempotencyKey)); key != "" {
		return key
	}
	var body struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(c.Request.Body(), &body) == nil && body.Key != "" {
		return body.Key
	}
	return string(c.Path())
}
