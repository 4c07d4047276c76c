package membership

import "sync"

// subscribers holds channels that are notified without blocking. It is safe for
// concurrent use.
type subscribers struct {
	mu       sync.Mutex
	channels []chan struct{}
}

func (s *subscribers) add() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	s.channels = append(s.channels, c)
	s.mu.Unlock()
	return c
}

func (s *subscribers) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.channels {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
