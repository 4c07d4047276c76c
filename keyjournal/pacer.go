package keyjournal

import (
	"sync"
	"time"
)

// pacer is the Pace of one shard, shared by the lanes of its cells. It is safe
// for concurrent use.
type pacer struct {
	log *Log

	mu   sync.Mutex
	pace Pace
}

// pacer returns the pacer of a shard. The lock of the Log is held.
func (l *Log) pacer(shard int) *pacer {
	p, ok := l.pacers[shard]
	if !ok {
		p = &pacer{log: l}
		l.pacers[shard] = p
	}
	return p
}

// interval is the shard's share of the writes that the journal may use.
func (p *pacer) interval() time.Duration {
	layout := p.log.layout.Load()
	writes := p.log.cfg.Values().WritesPerSecond
	if layout == nil || writes <= 0 {
		return 0
	}
	return time.Duration(layout.Shards) * time.Second / time.Duration(writes)
}

func (p *pacer) wait(batch time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.Wait(time.Now(), batch, p.interval())
}

func (p *pacer) started() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Started(time.Now(), p.interval())
}

func (p *pacer) ended(result writeResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range result.rateRefusals {
		p.pace.Refused(p.interval())
	}
	if result.taken {
		p.pace.Taken()
	}
}
