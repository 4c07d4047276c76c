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

// ServiceFaults configures the faults that a plain service injects. Rates are
// fractions of the calls, 0 to 1.
type ServiceFaults struct {
	// Delay is the delay before a call is executed.
	Delay time.Duration
	// LateRate is the rate of answers that are delayed by LateBy.
	LateRate float64
	LateBy   time.Duration
	// LostRate is the rate of calls that are executed but whose answer is lost.
	LostRate float64
	// WrongAttemptRate is the rate of answers that carry another attempt's ID.
	WrongAttemptRate float64
	// TruncatedRate is the rate of answers that end before their Content-Length.
	TruncatedRate float64
	// RefuseRate is the rate of calls that are refused before they are executed.
	RefuseRate float64
	// CrashAfter is the number of executed calls after which the service is
	// killed; zero means never.
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

// ServiceStats holds the counters of a service since its start, and its current
// load.
type ServiceStats struct {
	Running  int
	Peak     int
	Executed int
	Refused  int
	// LastAccepted is the time of the most recent accepted call.
	LastAccepted time.Time
}

// ServiceAnswer is the JSON body of a service's answer.
type ServiceAnswer struct {
	Target fleet.TargetID `json:"target"`
	Method string         `json:"method"`
	Path   string         `json:"path"`
	Key    string         `json:"key"`
	// Run is the number of executions of the key by this instance, including
	// this call.
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

// Service is a stand-in plain service that counts executions by key. It is
// safe for concurrent use.
type Service struct {
	config       ServiceConfig
	faultSampler *faultSampler
	host         *host
	stop         chan struct{}
	once         sync.Once

	mu         sync.Mutex
	faults     ServiceFaults
	leaving    bool
	stats      ServiceStats
	executions map[string]int
}

// StartService starts a service that listens on c.Addr. The caller stops it with
// Close or Kill.
func StartService(c ServiceConfig) (*Service, error) {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	s := &Service{
		config: c, faultSampler: newFaultSampler(c.Seed), faults: c.Faults,
		stop: make(chan struct{}), executions: map[string]int{},
	}
	h, err := startHost(c.Addr, func(h *server.Hertz) { h.NoRoute(s.serve) })
	if err != nil {
		return nil, err
	}
	s.host = h
	return s, nil
}

// Addr returns host:port of the service's listener.
func (s *Service) Addr() string {
	return s.host.addr()
}

// ID returns the target ID.
func (s *Service) ID() fleet.TargetID {
	return s.config.ID
}

// SetLeaving sets whether the service refuses new calls.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetFaults replaces the fault settings.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stats returns a snapshot of the counters.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Executions returns the number of executions of each key. The key of a call is
// its Idempotency-Key, else the member "key" of its JSON body, else its path.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		counts[k] = n
	}
	return counts
}

// Close shuts the service down gracefully: it refuses new calls and waits, at most
// closeLimit, until the calls in flight have finished.
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

// Kill stops the service at once and resets all connections, as a crash would.
func (s *Service) Kill() {
	s.once.Do(func() { close(s.stop) })
	s.host.kill()
}

func (s *Service) serve(_ context.Context, c *app.RequestContext) {
	c.Header(plain.HeaderAttempt, string(c.GetHeader(plain.HeaderAttempt)))
	f, ok := s.admit()
	if !ok {
		c.Header(plain.HeaderRefused, "true")
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.pause(f.Delay)
	body := s.execute(c)
	if s.faultSampler.sample(f.LateRate) {
		s.pause(f.LateBy)
	}
	switch {
	case s.faultSampler.sample(f.LostRate):
		_ = c.GetConn().Close()
	case s.faultSampler.sample(f.TruncatedRate):
		sendTruncated(c, body)
	default:
		if s.faultSampler.sample(f.WrongAttemptRate) {
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

func (s *Service) admit() (ServiceFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.faultSampler.sample(s.faults.RefuseRate) {
		s.stats.Refused++
		return s.faults, false
	}
	s.stats.Running++
	s.stats.Peak = max(s.stats.Peak, s.stats.Running)
	s.stats.LastAccepted = time.Now()
	return s.faults, true
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
}

// execute counts an execution of the call and returns the body of its answer.
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
