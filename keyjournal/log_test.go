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

// withCluster runs a test on a fault-free cluster in a synctest bubble and
// reports what the oracle finds.
func withCluster(t *testing.T, run func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(func(s objectapi.Store) objectapi.Store { return s })
		defer c.close()
		run(t, c)
		for _, violation := range c.oracle.check() {
			t.Error(violation)
		}
	})
}

func TestOperationsShareWrites(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		const orders = 400
		for i := range orders {
			c.startOrder(order{key: uuidV7(time.Now(), uint64(i)), body: "order", router: i % routerCount, run: time.Millisecond})
		}
		c.oracle.wg.Wait()
		time.Sleep(time.Second)
		if writes := c.objects.Counts()[standin.VerbPut]; writes > 10*testShards {
			t.Fatalf("got %d writes for %d orders, want at most 10 per shard", writes, orders)
		}
		for _, got := range c.oracle.responses {
			if got.state != StateCompleted {
				t.Fatalf("got response %+v, want state completed", got)
			}
		}
	})
}

// Guards against an intent that was refused in a platform outage blocking its key:
// a repeat right after the outage, on another router, must run.
func TestRequestRefusedInOutageRunsOnRepeat(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		intent := Intent{Account: testAccount, Key: "key", Fingerprint: NewFingerprint("order")}
		c.startOrder(order{key: "another", body: "order"})
		c.oracle.wg.Wait()
		c.objects.SetFaults(standin.Faults{Outage: true})
		_, err := c.nodes[0].journal.Load().Begin(context.Background(), intent)
		if !errors.Is(err, ErrUnavailable) {
			t.Fatalf("Begin in an outage: got %v, want ErrUnavailable", err)
		}
		c.objects.SetFaults(standin.Faults{})
		c.startOrder(order{key: "key", body: "order", router: 1})
		c.oracle.wg.Wait()
		if got := c.oracle.responses[1]; got.state != StateCompleted {
			t.Fatalf("repeat after the outage: got %+v, want state completed", got)
		}
	})
}

// Guards against running a request twice: a repeat must join the running attempt
// or, if the router of the attempt crashed before it recorded a result, get the
// state unknown.
func TestRepeatJoinsRunningAttemptAndReadsUnknownAfterCrash(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.startOrder(order{key: "slow", body: "order", router: 0, run: time.Second})
		c.startOrder(order{key: "lost", body: "order", router: 0, run: time.Second, end: endLost})
		time.Sleep(100 * time.Millisecond)
		c.startOrder(order{key: "slow", body: "order", router: 1})
		c.oracle.wg.Wait()
		if got := c.oracle.responses; len(got) != 2 || got[1].state != StateCompleted {
			t.Fatalf("repeat of a running order: got %+v, want two responses, the second completed", got)
		}
		c.nodes[0].crash()
		c.nodes[0].start(0)
		c.startOrder(order{key: "lost", body: "order", router: 1})
		c.startOrder(order{key: "lost", body: "order", router: 0})
		c.oracle.wg.Wait()
		for _, got := range c.oracle.responses[2:] {
			if got.state != StateUnknown {
				t.Fatalf("repeat after the crash: got %+v, want state unknown", got)
			}
		}
	})
}

// Guards against reviving expired keys: when the settings get a longer retention,
// the layout must follow, and keys that expired under the shorter one must stay
// expired, since their cells may have been deleted.
func TestLayoutFollowsLongerRetention(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		key := uuidV7(time.Now(), 1)
		c.startOrder(order{key: key, body: "order"})
		c.oracle.wg.Wait()
		time.Sleep(testRetention + time.Second)
		c.oracle.mu.Lock()
		c.values.RetentionMS *= 100
		c.oracle.mu.Unlock()
		time.Sleep(3 * time.Second)
		layout, err := c.nodes[1].journal.Load().currentLayout(t.Context())
		if err != nil || layout.maxRetention() != 100*testRetention {
			t.Fatalf("got layout %+v, error %v, want 100 times the retention and no error", layout, err)
		}
		c.startOrder(order{key: key, body: "order", router: 1})
		c.oracle.wg.Wait()
		if got := c.oracle.responses[1]; !errors.Is(got.err, ErrExpired) {
			t.Fatalf("expired key after a longer retention: got %+v, want ErrExpired", got)
		}
	})
}

func TestExpiredCellsAreDeleted(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		for i := range 20 {
			c.startOrder(order{key: uuidV7(time.Now(), uint64(i)), body: "order"})
		}
		c.oracle.wg.Wait()
		time.Sleep(testRetention + 2*MaxClockSkew + 9*BucketDuration)
		objects, _, err := c.objects.List(t.Context(), Kind)
		if err != nil || len(objects) != 1 {
			t.Fatalf("got %d objects and error %v, want the layout alone and no error", len(objects), err)
		}
	})
}
