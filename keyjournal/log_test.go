package keyjournal

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/standin"
)

func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(func(s objectapi.Store) objectapi.Store { return s })
		defer w.close()
		test(t, w)
		for _, fault := range w.oracle.check() {
			t.Error(fault)
		}
	})
}

func TestIntentsShareWrites(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		const orders = 400
		for i := range orders {
			w.start(order{key: uuidV7(time.Now(), uint64(i)), body: "order", router: i % routerCount, run: time.Millisecond})
		}
		w.oracle.wait.Wait()
		time.Sleep(time.Second)
		if writes := w.objects.Counts()[standin.VerbPut]; writes > 10*testShards {
			t.Fatalf("%d writes for %d orders", writes, orders)
		}
		for _, told := range w.oracle.tellings {
			if told.state != StateCompleted {
				t.Fatalf("told %+v", told)
			}
		}
	})
}

// What is refused in an outage may be repeated at once after it, on any router.
func TestOutageIsNotRun(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		intent := Intent{Account: testAccount, Key: "key", Fingerprint: FingerprintOf("order")}
		w.start(order{key: "another", body: "order"})
		w.oracle.wait.Wait()
		w.objects.SetFaults(standin.Faults{Outage: true})
		_, err := w.nodes[0].log.Load().Begin(context.Background(), intent)
		if !errors.Is(err, ErrUnavailable) {
			t.Fatalf("in an outage: %v", err)
		}
		w.objects.SetFaults(standin.Faults{})
		w.start(order{key: "key", body: "order", router: 1})
		w.oracle.wait.Wait()
		if told := w.oracle.tellings[1]; told.state != StateCompleted {
			t.Fatalf("after the outage: %+v", told)
		}
	})
}

// A repeat joins the running attempt; when its router has stopped without a
// result the repeat is told unknown, and the request does not run again.
func TestRepeatsJoinAndCrashIsUnknown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.start(order{key: "slow", body: "order", router: 0, run: time.Second})
		w.start(order{key: "lost", body: "order", router: 0, run: time.Second, end: endSilent})
		time.Sleep(100 * time.Millisecond)
		w.start(order{key: "slow", body: "order", router: 1})
		w.oracle.wait.Wait()
		if told := w.oracle.tellings; len(told) != 2 || told[1].state != StateCompleted {
			t.Fatalf("joined: %+v", told)
		}
		w.nodes[0].crash()
		w.nodes[0].start(0)
		w.start(order{key: "lost", body: "order", router: 1})
		w.start(order{key: "lost", body: "order", router: 0})
		w.oracle.wait.Wait()
		for _, told := range w.oracle.tellings[2:] {
			if told.state != StateUnknown {
				t.Fatalf("after the crash: %+v", told)
			}
		}
	})
}

func TestLongerRetentionFollowsSettings(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		key := uuidV7(time.Now(), 1)
		w.start(order{key: key, body: "order"})
		w.oracle.wait.Wait()
		time.Sleep(testRetention + time.Second)
		w.oracle.mu.Lock()
		w.values.RetentionMS *= 100
		w.oracle.mu.Unlock()
		time.Sleep(3 * time.Second)
		layout, err := w.nodes[1].log.Load().currentLayout(t.Context())
		if err != nil || layout.keep() != 100*testRetention {
			t.Fatalf("layout %+v, %v", layout, err)
		}
		w.start(order{key: key, body: "order", router: 1})
		w.oracle.wait.Wait()
		if told := w.oracle.tellings[1]; !errors.Is(told.err, ErrExpired) {
			t.Fatalf("expired key after a longer retention: %+v", told)
		}
	})
}

func TestDeadCellsAreDeleted(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for i := range 20 {
			w.start(order{key: uuidV7(time.Now(), uint64(i)), body: "order"})
		}
		w.oracle.wait.Wait()
		time.Sleep(testRetention + 2*SkewLimit + 9*BucketLength)
		objects, _, err := w.objects.List(t.Context(), Kind)
		if err != nil || len(objects) != 1 {
			t.Fatalf("%d objects left, %v", len(objects), err)
		}
	})
}
