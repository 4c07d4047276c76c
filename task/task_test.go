package task

import (
	"errors"
	"testing"
)

func TestSendReturnsErrorWhenFullOrStopped(t *testing.T) {
	pool, err := NewPool(2)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	entered := make(chan struct{})
	release := make(chan struct{})
	task, err := Start(pool, 1, func(int) {
		entered <- struct{}{}
		<-release
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := task.Send(1); err != nil {
		t.Fatal(err)
	}
	<-entered
	if err := task.Send(2); err != nil {
		t.Fatal(err)
	}
	if err := task.Send(3); !errors.Is(err, ErrMailboxFull) {
		t.Fatalf("third message: got %v, want ErrMailboxFull", err)
	}
	close(release)
	<-entered
	task.Stop()
	if err := task.Send(4); !errors.Is(err, ErrStopped) {
		t.Fatalf("after stop: got %v, want ErrStopped", err)
	}
}
