package keyjournal

import (
	"errors"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func beginFor(key, body string) *Op {
	return &Op{
		Kind: OpBegin, Hash: HashKey(testAccount, key), Fingerprint: FingerprintOf(body),
		Nonce: NewNonce(), ExpiresMS: epoch.Add(testRetention).UnixMilli(),
	}
}

func expect(t *testing.T, c *Content, op *Op, now time.Time, want VerdictKind) {
	t.Helper()
	if v, _ := c.Apply(op, now); v.Kind != want {
		t.Fatalf("%v: verdict %v, want %v", op.Kind, v.Kind, want)
	}
}

func TestVerdicts(t *testing.T) {
	c := NewContent()
	first := beginFor("key", "body")
	expect(t, c, first, epoch, Done)
	expect(t, c, first, epoch, Done)
	expect(t, c, beginFor("key", "body"), epoch, Exists)
	expect(t, c, beginFor("key", "other"), epoch, KeyReused)
	stranger := &Op{Kind: OpRelease, Hash: first.Hash, Nonce: NewNonce()}
	expect(t, c, stranger, epoch, Gone)
	unknown := &Op{Kind: OpFinish, Hash: first.Hash, Nonce: first.Nonce, Result: Result{State: StateUnknown}}
	expect(t, c, unknown, epoch, Done)
	replacing := beginFor("key", "body")
	replacing.Replaces = first.Nonce
	expect(t, c, replacing, epoch, Exists)
	completed := *unknown
	completed.Result = Result{State: StateCompleted, Answer: &Answer{Status: 201}}
	expect(t, c, &completed, epoch, Done)
	expect(t, c, unknown, epoch, Done)
	record, err := c.Find(first.Hash, epoch)
	if err != nil || record.State != StateCompleted || record.Answer.Status != 201 {
		t.Fatalf("found %+v, %v", record, err)
	}
	release := &Op{Kind: OpRelease, Hash: first.Hash, Nonce: first.Nonce}
	expect(t, c, release, epoch, Gone)
}

func TestReplaceOfIntent(t *testing.T) {
	c := NewContent()
	first := beginFor("key", "body")
	expect(t, c, first, epoch, Done)
	second := beginFor("key", "body")
	second.Replaces = first.Nonce
	expect(t, c, second, epoch, Done)
	expect(t, c, &Op{Kind: OpRelease, Hash: first.Hash, Nonce: first.Nonce}, epoch, Gone)
	expect(t, c, &Op{Kind: OpRelease, Hash: first.Hash, Nonce: second.Nonce}, epoch, Done)
	expect(t, c, beginFor("key", "other"), epoch, Done)
}

func TestExpiredKeyIsRefused(t *testing.T) {
	c := NewContent()
	expect(t, c, beginFor("key", "body"), epoch, Done)
	late := epoch.Add(testRetention)
	expect(t, c, beginFor("key", "body"), late, Expired)
	late = late.Add(SkewLimit)
	if !c.Expire(late, testRetention) || len(c.records) != 0 {
		t.Fatal("expired record kept")
	}
	data, err := c.Encode(NewNonce())
	if err != nil {
		t.Fatal(err)
	}
	c, err = Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, c, beginFor("key", "body"), late, Expired)
	if _, err := c.Find(HashKey(testAccount, "key"), late); !errors.Is(err, ErrExpired) {
		t.Fatalf("lookup of an expired key: %v", err)
	}
	late = late.Add(UntimedRetentions * testRetention)
	if !c.Expire(late, testRetention) || c.size != 0 {
		t.Fatalf("tombstone kept, size %d", c.size)
	}
}

// A full cell gives up bodies of recorded answers before it refuses an intent,
// and its value stays within the platform's limit.
func TestCellStaysWithinLimit(t *testing.T) {
	c := NewContent()
	body := make([]byte, 16<<10)
	owner := Owner{Router: "router-with-a-rather-long-name-of-sixty-characters-in-recife-a", Boot: 1 << 63}
	count := 0
	for ; count < 20_000; count++ {
		op := beginFor(uuidV7(epoch, uint64(count)), "body")
		op.Owner = owner
		v, _ := c.Apply(op, epoch)
		if v.Kind == Full {
			break
		}
		answer := &Answer{Status: 200, Header: []Field{{"Content-Type", "application/json"}}, Body: body}
		finish := &Op{Kind: OpFinish, Hash: op.Hash, Nonce: op.Nonce, Result: Result{State: StateCompleted, Answer: answer}}
		expect(t, c, finish, epoch, Done)
	}
	data, err := c.Encode(NewNonce())
	if err != nil {
		t.Fatal(err)
	}
	if count < 4_000 || count == 20_000 || len(data) > objectapi.MaxValueBytes || c.size < len(data) {
		t.Fatalf("%d records, %d bytes, reckoned as %d", count, len(data), c.size)
	}
	if again, err := Decode(data); err != nil || again.size != c.size {
		t.Fatalf("decoded: %v, size %d, want %d", err, again.size, c.size)
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
			t.Errorf("KeyTime(%q) = %v, want %v", key, got, ok)
		}
	}
	if at, _ := KeyTime(uuidV7(epoch, 7)); !at.Equal(epoch) {
		t.Errorf("time %v, want %v", at, epoch)
	}
}

func TestLayout(t *testing.T) {
	l := Layout{Shards: 4, UntimedCells: 2, BucketMS: BucketLength.Milliseconds(), KeepMS: testRetention.Milliseconds()}
	old := uuidV7(epoch.Add(-testRetention-time.Second), 1)
	recent := uuidV7(epoch.Add(-testRetention+time.Second), 1)
	hash := HashKey(testAccount, old)
	if _, err := l.Locate(hash, old, epoch, testRetention); !errors.Is(err, ErrExpired) {
		t.Fatalf("old key: %v", err)
	}
	cell, err := l.Locate(hash, recent, epoch, testRetention)
	if err != nil || !cell.Timed() || cell.Bucket <= l.Dead(epoch) {
		t.Fatalf("recent key: %+v, %v, dead up to %d", cell, err, l.Dead(epoch))
	}
	early := uuidV7(epoch.Add(AheadLimit+time.Second), 1)
	if !ahead(early, epoch) || ahead(early, epoch.Add(2*time.Second)) {
		t.Fatal("limit of keys ahead of time")
	}
	if cell, err := l.Locate(hash, early, epoch, testRetention); err != nil || !cell.Timed() {
		t.Fatalf("cell of a key ahead of time: %+v, %v", cell, err)
	}
	raised, ok := l.Raise(epoch, 3*testRetention)
	if !ok {
		t.Fatal("not raised")
	}
	if _, err := raised.Locate(hash, old, epoch, 3*testRetention); !errors.Is(err, ErrExpired) {
		t.Fatalf("old key after a longer retention: %v", err)
	}
	if _, err := raised.Locate(hash, recent, epoch.Add(testRetention), 3*testRetention); err != nil {
		t.Fatalf("recent key after a longer retention: %v", err)
	}
	if _, ok := raised.Raise(epoch, testRetention); ok {
		t.Fatal("raised by a shorter retention")
	}
}
