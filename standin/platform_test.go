package standin_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/objectclient"
	"ragwortpond.example/ragwortpond/standin"
)

const callTimeout = 150 * time.Millisecond

// start returns a platform and a client of it.
func start(t *testing.T, config standin.PlatformConfig) (*standin.Platform, *objectclient.Client) {
	t.Helper()
	config.Addr = "127.0.0.1:0"
	p, err := standin.StartPlatform(config)
	if err != nil {
		t.Fatal(err)
	}
	client := objectclient.NewClient(objectclient.ClientConfig{Addr: p.Addr(), Timeout: callTimeout})
	t.Cleanup(func() {
		_ = client.Close()
		p.Close()
	})
	return p, client
}

func want(t *testing.T, err, expected error) {
	t.Helper()
	if !errors.Is(err, expected) {
		t.Fatalf("error %v, want %v", err, expected)
	}
}

func TestConditionalWrites(t *testing.T) {
	p, client := start(t, standin.PlatformConfig{})
	for name, store := range map[string]objectapi.Store{"http": client, "in-process": p.Objects} {
		t.Run(name, func(t *testing.T) { conditionalWrites(t, store, name) })
	}
}

func conditionalWrites(t *testing.T, store objectapi.Store, kind string) {
	ctx := t.Context()
	first, err := store.Put(ctx, kind, "a/b c", []byte("one"), 0)
	want(t, err, nil)
	_, err = store.Put(ctx, kind, "a/b c", []byte("two"), 0)
	want(t, err, objectapi.ErrConflict)
	second, err := store.Put(ctx, kind, "a/b c", []byte("two"), first)
	want(t, err, nil)
	object, err := store.Get(ctx, kind, "a/b c")
	want(t, err, nil)
	if string(object.Data) != "two" || object.Version != second || second <= first {
		t.Fatalf("got %+v after versions %d, %d", object, first, second)
	}
	_, err = store.Delete(ctx, kind, "a/b c", first)
	want(t, err, objectapi.ErrConflict)
	_, err = store.Delete(ctx, kind, "a/b c", second)
	want(t, err, nil)
	_, err = store.Get(ctx, kind, "a/b c")
	want(t, err, objectapi.ErrNotFound)
	_, err = store.Put(ctx, kind, "large", make([]byte, objectapi.MaxValueBytes+1), 0)
	want(t, err, objectapi.ErrTooLarge)
	changes, _, err := store.Watch(ctx, []string{kind}, first, time.Second)
	want(t, err, nil)
	if len(changes) != 2 || !changes[1].Deleted {
		t.Fatalf("changes %+v", changes)
	}
}

// A lost answer is unknown whether or not the write took effect. The second
// write goes over a pooled connection, where a client that repeats by itself
// would report a conflict.
func TestLostAnswers(t *testing.T) {
	p, client := start(t, standin.PlatformConfig{})
	version, err := client.Put(t.Context(), "k", "n", []byte("one"), 0)
	want(t, err, nil)
	p.SetFaults(standin.Faults{LoseAfter: 1})
	_, err = client.Put(t.Context(), "k", "n", []byte("two"), version)
	want(t, err, objectapi.ErrUnknown)
	object, err := client.Get(t.Context(), "k", "n")
	want(t, err, nil)
	if string(object.Data) != "two" {
		t.Fatalf("lost after effect, but %q is stored", object.Data)
	}
	p.SetFaults(standin.Faults{LoseBefore: 1})
	_, err = client.Delete(t.Context(), "k", "n", object.Version)
	want(t, err, objectapi.ErrUnknown)
	_, err = client.Get(t.Context(), "k", "n")
	want(t, err, nil)
}

func TestRefusalsAreDefinite(t *testing.T) {
	p, client := start(t, standin.PlatformConfig{WritesPerSecond: 1})
	p.SetFaults(standin.Faults{Outage: true})
	_, err := client.Put(t.Context(), "k", "n", nil, 0)
	want(t, err, objectapi.ErrUnavailable)
	p.SetFaults(standin.Faults{})
	_, err = client.Put(t.Context(), "k", "n", nil, 0)
	want(t, err, nil)
	_, err = client.Put(t.Context(), "k", "m", nil, 0)
	want(t, err, objectapi.ErrRateLimited)
	p.Close()
	_, err = client.Put(t.Context(), "k", "o", nil, 0)
	if !errors.Is(err, objectapi.ErrUnavailable) && !errors.Is(err, objectapi.ErrUnknown) {
		t.Fatalf("error %v over a broken connection", err)
	}
	_, err = client.Put(t.Context(), "k", "o", nil, 0)
	want(t, err, objectapi.ErrUnavailable)
}

func TestSlowAnswerIsUnknown(t *testing.T) {
	p, client := start(t, standin.PlatformConfig{})
	p.SetFaults(standin.Faults{SlowMS: 4 * callTimeout.Milliseconds()})
	_, err := client.Put(t.Context(), "k", "n", []byte("one"), 0)
	want(t, err, objectapi.ErrUnknown)
	_, err = client.Get(t.Context(), "k", "n")
	want(t, err, objectapi.ErrUnavailable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Put(ctx, "k", "m", nil, 0)
	want(t, err, objectapi.ErrUnavailable)
}

func TestWatch(t *testing.T) {
	p, client := start(t, standin.PlatformConfig{})
	changes, revision, err := client.Watch(t.Context(), []string{"k"}, 0, time.Millisecond)
	want(t, err, nil)
	if len(changes) != 0 || revision != 0 {
		t.Fatalf("changes %+v at %d in an empty store", changes, revision)
	}
	done := make(chan []objectapi.Change, 1)
	go func() {
		changes, _, _ := client.Watch(t.Context(), []string{"k", "l"}, 0, 10*time.Second)
		done <- changes
	}()
	_, err = p.Put(t.Context(), "l", "n", []byte("one"), 0)
	want(t, err, nil)
	if changes := <-done; len(changes) != 1 || string(changes[0].Object.Data) != "one" {
		t.Fatalf("changes %+v", changes)
	}
	p.Compact()
	_, _, err = client.Watch(t.Context(), []string{"l"}, 0, time.Second)
	want(t, err, objectapi.ErrCompacted)
	go func() {
		time.Sleep(callTimeout)
		p.SetFaults(standin.Faults{Outage: true})
	}()
	_, _, err = client.Watch(t.Context(), []string{"l"}, 1, 10*time.Second)
	want(t, err, objectapi.ErrUnavailable)
}

func TestVMListLags(t *testing.T) {
	p, client := start(t, standin.PlatformConfig{})
	p.SetFaults(standin.Faults{VMLagMS: time.Hour.Milliseconds()})
	p.SetVMs([]objectapi.VM{{Name: "vm-1", State: fleet.Live}})
	p.SetVMs([]objectapi.VM{{Name: "vm-1", State: fleet.Leaving}})
	vms, err := client.VMs(t.Context())
	want(t, err, nil)
	if len(vms) != 1 || vms[0].State != fleet.Live {
		t.Fatalf("%+v within the lag", vms)
	}
	p.SetFaults(standin.Faults{})
	vms, err = client.VMs(t.Context())
	want(t, err, nil)
	if vms[0].State != fleet.Leaving {
		t.Fatalf("%+v after the lag", vms)
	}
	if got := p.Counts()[standin.VerbVMs]; got != 2 {
		t.Fatalf("%d VM lists counted, want 2", got)
	}
}
