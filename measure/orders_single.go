package measure

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/sleep"
)

const (
	singleKind       = "orders"
	singleTimeout    = 3 * time.Second
	singleMinBackoff = 10 * time.Millisecond
	singleMaxBackoff = 320 * time.Millisecond
)

// singleJournal is the baseline for the batched journal. It stores one platform
// object per order, created before the order's dispatch and updated with its
// result.
type singleJournal struct {
	store objectapi.Store
}

// Begin implements orders.Journal. It creates the order's object.
func (j *singleJournal) Begin(ctx context.Context, intent keyjournal.Intent) (keyjournal.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, singleTimeout)
	defer cancel()
	grant := keyjournal.Grant{Hash: keyjournal.HashKey(intent.Account, intent.Key), Nonce: keyjournal.NewNonce()}
	record := keyjournal.Record{
		Hash: grant.Hash, Nonce: grant.Nonce, Fingerprint: intent.Fingerprint, State: keyjournal.StateIntent,
	}
	err := j.write(ctx, record, 0)
	if err == nil {
		return grant, nil
	}
	if !errors.Is(err, objectapi.ErrConflict) {
		return keyjournal.Grant{}, keyjournal.ErrUnavailable
	}
	existing, _, err := j.read(ctx, grant.Hash)
	switch {
	case err != nil:
		return keyjournal.Grant{}, keyjournal.ErrUnavailable
	case existing.Nonce == grant.Nonce:
		return grant, nil
	case existing.Fingerprint != intent.Fingerprint:
		return keyjournal.Grant{}, keyjournal.ErrKeyReused
	default:
		return keyjournal.Grant{}, &keyjournal.ExistsError{Record: existing}
	}
}

// FinishAsync implements orders.Journal. It updates the object in the background
// and drops the result if that fails.
func (j *singleJournal) FinishAsync(grant keyjournal.Grant, result keyjournal.Result) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), singleTimeout)
		defer cancel()
		record, version, err := j.read(ctx, grant.Hash)
		if err != nil || record.Nonce != grant.Nonce {
			return
		}
		record.State = result.State
		record.Response = result.Response
		_ = j.write(ctx, record, version)
	}()
}

// Abandon implements orders.Journal. It deletes the object if it belongs to grant.
func (j *singleJournal) Abandon(ctx context.Context, grant keyjournal.Grant) {
	record, version, err := j.read(ctx, grant.Hash)
	if err == nil && record.Nonce == grant.Nonce {
		_, _ = j.store.Delete(ctx, singleKind, objectName(grant.Hash), version)
	}
}

// Join implements orders.Journal. It polls the object until it has a result or ctx
// ends.
func (j *singleJournal) Join(ctx context.Context, record keyjournal.Record) (keyjournal.Record, error) {
	for record.State == keyjournal.StateIntent && sleep.For(ctx, singleMaxBackoff) == nil {
		if current, _, err := j.read(ctx, record.Hash); err == nil {
			record = current
		}
	}
	return record, nil
}

// Lookup implements orders.Journal. It reads the object.
func (j *singleJournal) Lookup(ctx context.Context, account fleet.AccountName, key string) (keyjournal.Record, error) {
	record, _, err := j.read(ctx, keyjournal.HashKey(account, key))
	if errors.Is(err, objectapi.ErrNotFound) {
		return keyjournal.Record{}, keyjournal.ErrNotFound
	}
	return record, err
}

// write retries a write with backoff until its outcome is definite or ctx ends, as
// the batched journal does.
func (j *singleJournal) write(ctx context.Context, record keyjournal.Record, version uint64) error {
	data, err := json.Marshal(record)
	if err != nil {
		return err
	}
	backoff := singleMinBackoff
	for {
		_, err := j.store.Put(ctx, singleKind, objectName(record.Hash), data, version)
		if !errors.Is(err, objectapi.ErrResultUnknown) && !errors.Is(err, objectapi.ErrRateLimited) {
			return err
		}
		if sleep.For(ctx, backoff/2+rand.N(backoff)) != nil {
			return err
		}
		backoff = min(2*backoff, singleMaxBackoff)
	}
}

func (j *singleJournal) read(ctx context.Context, hash keyjournal.KeyHash) (keyjournal.Record, uint64, error) {
	object, err := j.store.Get(ctx, singleKind, objectName(hash))
	if err != nil {
		return keyjournal.Record{}, 0, err
	}
	var record keyjournal.Record
	err = json.Unmarshal(object.Data, &record)
	return record, object.Version, err
}

func objectName(hash keyjournal.KeyHash) string {
	return hex.EncodeToString(hash[:])
}
