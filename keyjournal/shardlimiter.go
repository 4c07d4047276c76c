package keyjournal

import (
	"sync"
	"time"
)

// shardLimiter is the RateLimiter of one shard, shared by the batchers of its
// cells. It is safe for concurrent use.
type shardLimiter struct {
	log *Journal

	mu      sync.Mutex
	limiter RateLimiter
}

// limiter returns the limiter of a shard. The caller holds l.mu.
func (l *Journal) limiter(shard int) *shardLimiter {
	s, ok := l.limiters[shard]
	if !ok {
		s = &shardLimiter{log: l}
		l.limiters[shard] = s
	}
	return s
}

// interval returns the interval between writes of the shard that gives it its
// share of the journal's writes per second; zero means no limit.
func (s *shardLimiter) interval() time.Duration {
	layout := s.log.layout.Load()
	writes := s.log.cfg.Settings().WritesPerSecond
	if layout == nil || writes <= 0 {
		return 0
	}
	return time.Duration(layout.Shards) * time.Second / time.Duration(writes)
}

func (s *shardLimiter) delay(minDelay time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Delay(time.Now(), minDelay, s.interval())
}

func (s *shardLimiter) recordStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.RecordStart(time.Now(), s.interval())
}

func (s *shardLimiter) recordWrite(stats writeStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range stats.rateLimited {
		s.limiter.RecordRefusal(s.interval())
	}
	if stats.succeeded {
		s.limiter.RecordSuccess()
	}
}
