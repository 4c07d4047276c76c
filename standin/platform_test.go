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

// startPlatform starts a platform and returns it with a client for it.
func startPlatform(t *testing.T, config standin.PlatformConfig) (*standin.Platform, *objectclient.Client) {
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

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got error %v, want %v", err, want)
	}
}

func TestConditionalWrites(t *testing.T) {
	p, client := startPlatform(t, standin.PlatformConfig{})
	for name, store := range map[string]objectapi.Store{"http": client, "in-process": p.Objects} {
		t.Run(name, func(t *testing.T) { testConditionalWrites(t, store, name) })
	}
}

func testConditionalWrites(t *testing.T, store objectapi.Store, kind string) {
	ctx := t.Context()
	first, err := store.Put(ctx, kind, "a/b c", []byte("one"), 0)
	wantError(t, err, nil)
	_, err = store.Put(ctx, kind, "a/b c", []byte("two"), 0)
	wantError(t, err, objectapi.ErrConflict)
	second, err := store.Put(ctx, kind, "a/b c", []byte("two"), first)
	wantError(t, err, nil)
	object, err := store.Get(ctx, kind, "a/b c")
	wantError(t, err, nil)
	if string(object.Data) != "two" || object.Version != second || second <= first {
		t.Fatalf("got %+v after versions %d, %d", object, first, second)
	}
	_, err = store.Delete(ctx, kind, "a/b c", first)
	wantError(t, err, objectapi.ErrConflict)
	_, err = store.Delete(ctx, kind, "a/b c", second)
	wantError(t, err, nil)
	_, err = store.Get(ctx, kind, "a/b c")
	wantError(t, err, objectapi.ErrNotFound)
	_, err = store.Put(ctx, kind, "large", make([]byte, objectapi.MaxValueBytes+1), 0)
	wantError(t, err, objectapi.ErrTooLarge)
	changes, _, err := store.Watch(ctx, []string{kind}, first, time.Second)
	wantError(t, err, nil)
	if len(changes) != 2 || !changes[1].Deleted {
		t.Fatalf("got changes %+v, want 2 with a deletion last", changes)
	}
}

// A write whose answer is lost must return ErrResultUnknown, whether or not it took
// effect. The second write uses a pooled connection: an HTTP client that retries
// there on its own would return a conflict instead.
func TestLostAnswerIsUnknown(t *testing.T) {
	p, client := startPlatform(t, standin.PlatformConfig{})
	version, err := client.Put(t.Context(), "k", "n", []byte("one"), 0)
	wantError(t, err, nil)
	p.SetFaults(standin.Faults{DropResponses: 1})
	_, err = client.Put(t.Context(), "k", "n", []byte("two"), version)
	wantError(t, err, objectapi.ErrResultUnknown)
	object, err := client.Get(t.Context(), "k", "n")
	wantError(t, err, nil)
	if string(object.Data) != "two" {
		t.Fatalf("got %q stored, want the write to take effect before its answer is lost", object.Data)
	}
	p.SetFaults(standin.Faults{DropWrites: 1})
	_, err = client.Delete(t.Context(), "k", "n", object.Version)
	wantError(t, err, objectapi.ErrResultUnknown)
	_, err = client.Get(t.Context(), "k", "n")
	wantError(t, err, nil)
}

func TestRefusedWriteIsNotUnknown(t *testing.T) {
	p, client := startPlatform(t, standin.PlatformConfig{WritesPerSecond: 1})
	p.SetFaults(standin.Faults{Outage: true})
	_, err := client.Put(t.Context(), "k", "n", nil, 0)
	wantError(t, err, objectapi.ErrUnavailable)
	p.SetFaults(standin.Faults{})
	_, err = client.Put(t.Context(), "k", "n", nil, 0)
	wantError(t, err, nil)
	_, err = client.Put(t.Context(), "k", "m", nil, 0)
	wantError(t, err, objectapi.ErrRateLimited)
	p.Close()
	_, err = client.Put(t.Context(), "k", "o", nil, 0)
	if !errors.Is(err, objectapi.ErrUnavailable) && !errors.Is(err, objectapi.ErrResultUnknown) {
		t.Fatalf("broken connection: got error %v, want ErrUnavailable or ErrResultUnknown", err)
	}
	_, err = client.Put(t.Context(), "k", "o", nil, 0)
	wantError(t, err, objectapi.ErrUnavailable)
}

func TestSlowAnswerIsUnknown(t *testing.T) {
	p, client := startPlatform(t, standin.PlatformConfig{})
	p.SetFaults(standin.Faults{ResponseDelayMS: 4 * callTimeout.Milliseconds()})
	_, err := client.Put(t.Context(), "k", "n", []byte("one"), 0)
	wantError(t, err, objectapi.ErrResultUnknown)
	_, err = client.Get(t.Context(), "k", "n")
	wantError(t, err, objectapi.ErrUnavailable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Put(ctx, "k", "m", nil, 0)
	wantError(t, err, objectapi.ErrUnavailable)
}

func TestWatch(t *testing.T) {
	p, client := startPlatform(t, standin.PlatformConfig{})
	changes, revision, err := client.Watch(t.Context(), []string{"k"}, 0, time.Millisecond)
	wantError(t, err, nil)
	if len(changes) != 0 || revision != 0 {
		t.Fatalf("empty store: got changes %+v at revision %d, want none at 0", changes, revision)
	}
	done := make(chan []objectapi.Change, 1)
	go func() {
		changes, _, _ := client.Watch(t.Context(), []string{"k", "l"}, 0, 10*time.Second)
		done <- changes
	}()
	_, err = p.Put(t.Context(), "l", "n", []byte("one"), 0)
	wantError(t, err, nil)
	if changes := <-done; len(changes) != 1 || string(changes[0].Object.Data) != "one" {
		t.Fatalf("got changes %+v, want one with data one", changes)
	}
	p.Compact()
	_, _, err = client.Watch(t.Context(), []string{"l"}, 0, time.Second)
	wantError(t, err, objectapi.ErrCompacted)
	go func() {
		time.Sleep(callTimeout)
		p.SetFaults(standin.Faults{Outage: true})
	}()
	_, _, err = client.Watch(t.Context(), []string{"l"}, 1, 10*time.Second)
	wantError(t, err, objectapi.ErrUnavailable)
}

func TestVMListLags(t *testing.T) {
	p, client := startPlatform(t, standin.PlatformConfig{})
	p.SetFaults(standin.Faults{VMLagMS: time.Hour.Milliseconds()})
	p.SetVMs([]objectapi.VM{{Name: "vm-1", State: fleet.Live}})
	p.SetVMs([]objectapi.VM{{Name: "vm-1", State: fleet.Leaving}})
	vms, err := client.VMs(t.Context())
	wantError(t, err, nil)
	if len(vms) != 1 || vms[0].State != fleet.Live {
		t.Fatalf("within the lag: got %+v, want one live VM", vms)
	}
	p.SetFaults(standin.Faults{})
	vms, err = client.VMs(t.Context())
	wantError(t, err, nil)
	if vms[0].State != fleet.Leaving {
		t.Fatalf("after the lag: got %+v, want a leaving VM", vms)
	}
	if got := p.Counts()[standin.VerbVMs]; got != 2 {
		t.Fatalf("got %d VM list calls, want 2", got)
	}
}
