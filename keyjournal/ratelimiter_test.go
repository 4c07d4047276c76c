package keyjournal

import (
	"testing"
	"time"
)

func TestRateLimiter(t *testing.T) {
	const minDelay, interval = 5 * time.Millisecond, 40 * time.Millisecond
	var limiter RateLimiter
	now := epoch
	for range writeBurst {
		if got := limiter.Delay(now, minDelay, interval); got != minDelay {
			t.Fatalf("delay within the burst: got %v, want the minimum", got)
		}
		limiter.RecordStart(now, interval)
	}
	writes := 0
	for end := now.Add(time.Second); now.Before(end); writes++ {
		now = now.Add(limiter.Delay(now, minDelay, interval))
		limiter.RecordStart(now, interval)
	}
	if maxWrites := int(time.Second/interval) + 1; writes > maxWrites || writes < maxWrites-1 {
		t.Fatalf("writes in a second: got %d, want %d or one fewer", writes, maxWrites)
	}
	limiter.RecordRefusal(interval)
	if got := limiter.Delay(now.Add(time.Minute), minDelay, interval); got != backoffGrowth*interval {
		t.Fatalf("delay after a refusal: got %v, want twice the interval", got)
	}
	for range 100 {
		limiter.RecordSuccess()
	}
	if got := limiter.Delay(now.Add(time.Minute), minDelay, interval); got != minDelay {
		t.Fatalf("delay after the backoff has decayed: got %v, want the minimum", got)
	}
}
