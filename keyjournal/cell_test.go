package keyjournal

import (
	"errors"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func newTestBegin(key, body string) *Op {
	return &Op{
		Kind: OpBegin, Hash: HashKey(testAccount, key), Fingerprint: NewFingerprint(body),
		Nonce: NewNonce(), ExpiresMS: epoch.Add(testRetention).UnixMilli(),
	}
}

func mustApply(t *testing.T, c *Content, op *Op, now time.Time, want VerdictKind) {
	t.Helper()
	if v, _ := c.Apply(op, now); v.Kind != want {
		t.Fatalf("%v: got verdict %v, want %v", op.Kind, v.Kind, want)
	}
}

func TestApplyVerdicts(t *testing.T) {
	c := NewContent()
	first := newTestBegin("key", "body")
	mustApply(t, c, first, epoch, Done)
	mustApply(t, c, first, epoch, Done)
	mustApply(t, c, newTestBegin("key", "body"), epoch, Exists)
	mustApply(t, c, newTestBegin("key", "other"), epoch, KeyReused)
	otherNonce := &Op{Kind: OpRelease, Hash: first.Hash, Nonce: NewNonce()}
	mustApply(t, c, otherNonce, epoch, Gone)
	unknown := &Op{Kind: OpFinish, Hash: first.Hash, Nonce: first.Nonce, Result: Result{State: StateUnknown}}
	mustApply(t, c, unknown, epoch, Done)
	replacing := newTestBegin("key", "body")
	replacing.Replaces = first.Nonce
	mustApply(t, c, replacing, epoch, Exists)
	completed := *unknown
	completed.Result = Result{State: StateCompleted, Response: &Response{Status: 201}}
	mustApply(t, c, &completed, epoch, Done)
	mustApply(t, c, unknown, epoch, Done)
	record, err := c.Find(first.Hash, epoch)
	if err != nil || record.State != StateCompleted || record.Response.Status != 201 {
		t.Fatalf("got record %+v, error %v, want completed with status 201", record, err)
	}
	release := &Op{Kind: OpRelease, Hash: first.Hash, Nonce: first.Nonce}
	mustApply(t, c, release, epoch, Gone)
}

func TestBeginReplacesIntent(t *testing.T) {
	c := NewContent()
	first := newTestBegin("key", "body")
	mustApply(t, c, first, epoch, Done)
	second := newTestBegin("key", "body")
	second.Replaces = first.Nonce
	mustApply(t, c, second, epoch, Done)
	mustApply(t, c, &Op{Kind: OpRelease, Hash: first.Hash, Nonce: first.Nonce}, epoch, Gone)
	mustApply(t, c, &Op{Kind: OpRelease, Hash: first.Hash, Nonce: second.Nonce}, epoch, Done)
	mustApply(t, c, newTestBegin("key", "other"), epoch, Done)
}

func TestBeginRefusesExpiredKey(t *testing.T) {
	c := NewContent()
	mustApply(t, c, newTestBegin("key", "body"), epoch, Done)
	now := epoch.Add(testRetention)
	mustApply(t, c, newTestBegin("key", "body"), now, Expired)
	now = now.Add(MaxClockSkew)
	if !c.Expire(now, testRetention) || len(c.records) != 0 {
		t.Fatal("got an expired record after Expire, want a tombstone")
	}
	data, err := c.Encode(NewNonce())
	if err != nil {
		t.Fatal(err)
	}
	c, err = Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, c, newTestBegin("key", "body"), now, Expired)
	if _, err := c.Find(HashKey(testAccount, "key"), now); !errors.Is(err, ErrExpired) {
		t.Fatalf("lookup of an expired key: got %v, want ErrExpired", err)
	}
	now = now.Add(TombstoneRetentions * testRetention)
	if !c.Expire(now, testRetention) || c.sizeBytes != 0 {
		t.Fatalf("after the tombstone's time: got a cell of %d bytes, want an empty one", c.sizeBytes)
	}
}

// Guards against a cell whose encoded value exceeds the platform's limit. A full
// cell must drop the bodies of recorded responses before it refuses an intent.
func TestCellSizeStaysWithinLimit(t *testing.T) {
	c := NewContent()
	body := make([]byte, 16<<10)
	owner := Owner{Router: "router-with-a-rather-long-name-of-sixty-characters-in-recife-a", BootID: 1 << 63}
	count := 0
	for ; count < 20_000; count++ {
		op := newTestBegin(uuidV7(epoch, uint64(count)), "body")
		op.Owner = owner
		v, _ := c.Apply(op, epoch)
		if v.Kind == Full {
			break
		}
		answer := &Response{Status: 200, Header: []HeaderField{{"Content-Type", "application/json"}}, Body: body}
		finish := &Op{Kind: OpFinish, Hash: op.Hash, Nonce: op.Nonce, Result: Result{State: StateCompleted, Response: answer}}
		mustApply(t, c, finish, epoch, Done)
	}
	data, err := c.Encode(NewNonce())
	if err != nil {
		t.Fatal(err)
	}
	if count < 4_000 || count == 20_000 || len(data) > objectapi.MaxValueBytes || c.sizeBytes < len(data) {
		t.Fatalf("got %d records in %d bytes, estimated as %d, want 4000 to 19999 records within the limit and the estimate", count, len(data), c.sizeBytes)
	}
	if decoded, err := Decode(data); err != nil || decoded.sizeBytes != c.sizeBytes {
		t.Fatalf("decoded cell: got error %v, size %d, want size %d", err, decoded.sizeBytes, c.sizeBytes)
	}
}

func TestKeyTime(t *testing.T) {
	for key, ok := range map[string]bool{
		uuidV7(epoch, 7):                       true,
		"01a3a5d0-7000-7abc-8def-0123456789AB": true,
		"f81d4fae-7dec-4d0a-a765-00a0c91e6bf6": false,
		"01a3a5d0-7000-7abc-8def-0123456789a":  false,
		"01a3a5d0-7000-7abc-8def-0123456789ag": false,
		"01a3a5d0x7000-7abc-8def-0123456789ab": false,
		"order-7":                              false,
		"":                                     false,
	} {
		if _, got := KeyTime(key); got != ok {
			t.Errorf("KeyTime(%q): got %v, want %v", key, got, ok)
		}
	}
	if at, _ := KeyTime(uuidV7(epoch, 7)); !at.Equal(epoch) {
		t.Errorf("got time %v, want %v", at, epoch)
	}
}

func TestLayoutLocateAndRetention(t *testing.T) {
	l := Layout{Shards: 4, UntimedCells: 2, BucketMS: BucketDuration.Milliseconds(), MaxRetentionMS: testRetention.Milliseconds()}
	old := uuidV7(epoch.Add(-testRetention-time.Second), 1)
	recent := uuidV7(epoch.Add(-testRetention+time.Second), 1)
	hash := HashKey(testAccount, old)
	if _, err := l.Locate(hash, old, epoch, testRetention); !errors.Is(err, ErrExpired) {
		t.Fatalf("old key: got %v, want ErrExpired", err)
	}
	cell, err := l.Locate(hash, recent, epoch, testRetention)
	if err != nil || !cell.Timed() || cell.Bucket <= l.LastExpiredBucket(epoch) {
		t.Fatalf("recent key: got %+v, error %v, want a timed cell after the last expired bucket %d", cell, err, l.LastExpiredBucket(epoch))
	}
	aheadKey := uuidV7(epoch.Add(MaxKeyAhead+time.Second), 1)
	if !isTooFarAhead(aheadKey, epoch) || isTooFarAhead(aheadKey, epoch.Add(2*time.Second)) {
		t.Fatal("key 1s over MaxKeyAhead: want it too far ahead, and accepted 2s later")
	}
	if cell, err := l.Locate(hash, aheadKey, epoch, testRetention); err != nil || !cell.Timed() {
		t.Fatalf("key too far ahead: got cell %+v, error %v, want a timed cell", cell, err)
	}
	extended, ok := l.WithRetention(epoch, 3*testRetention)
	if !ok {
		t.Fatal("longer retention: got no change of the layout")
	}
	if _, err := extended.Locate(hash, old, epoch, 3*testRetention); !errors.Is(err, ErrExpired) {
		t.Fatalf("old key after a longer retention: got %v, want ErrExpired", err)
	}
	if _, err := extended.Locate(hash, recent, epoch.Add(testRetention), 3*testRetention); err != nil {
		t.Fatalf("recent key after a longer retention: got %v, want no error", err)
	}
	if _, ok := extended.WithRetention(epoch, testRetention); ok {
		t.Fatal("shorter retention: got a change of the layout")
	}
}
