package measure

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/journal"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/task"
)

const (
	singleKind    = "orders"
	singleTimeout = 3 * time.Second
	singleRetry   = 10 * time.Millisecond
	singleMaxWait = 320 * time.Millisecond
)

// singleJournal is the way that the batched journal is compared with: one
// object of the platform for each order, created before its dispatch and
// written again with its result.
type singleJournal struct {
	store platform.Store
}

// Begin implements orders.Journal.
func (j *singleJournal) Begin(ctx context.Context, intent journal.Intent) (journal.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, singleTimeout)
	defer cancel()
	grant := journal.Grant{Hash: journal.HashKey(intent.Account, intent.Key), Nonce: journal.NewNonce()}
	record := journal.Record{
		Hash: grant.Hash, Nonce: grant.Nonce, Fingerprint: intent.Fingerprint, State: journal.StateIntent,
	}
	err := j.write(ctx, record, 0)
	if err == nil {
		return grant, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return journal.Grant{}, journal.ErrUnavailable
	}
	found, _, err := j.read(ctx, grant.Hash)
	switch {
	case err != nil:
		return journal.Grant{}, journal.ErrUnavailable
	case found.Nonce == grant.Nonce:
		return grant, nil
	case found.Fingerprint != intent.Fingerprint:
		return journal.Grant{}, journal.ErrKeyReused
	default:
		return journal.Grant{}, &journal.ExistsError{Record: found}
	}
}

// FinishLater implements orders.Journal.
func (j *singleJournal) FinishLater(grant journal.Grant, result journal.Result) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), singleTimeout)
		defer cancel()
		record, version, err := j.read(ctx, grant.Hash)
		if err != nil || record.Nonce != grant.Nonce {
			return
		}
		record.State = result.State
		record.Answer = result.Answer
		_ = j.write(ctx, record, version)
	}()
}

// Abandon implements orders.Journal.
func (j *singleJournal) Abandon(ctx context.Context, grant journal.Grant) {
	record, version, err := j.read(ctx, grant.Hash)
	if err == nil && record.Nonce == grant.Nonce {
		_, _ = j.store.Delete(ctx, singleKind, nameOf(grant.Hash), version)
	}
}

// Join implements orders.Journal by reading until the result is there.
func (j *singleJournal) Join(ctx context.Context, record journal.Record) (journal.Record, error) {
	for record.State == journal.StateIntent && task.Sleep(ctx, singleMaxWait) == nil {
		if found, _, err := j.read(ctx, record.Hash); err == nil {
			record = found
		}
	}
	return record, nil
}

// Lookup implements orders.Journal.
func (j *singleJournal) Lookup(ctx context.Context, account fleet.AccountName, key string) (journal.Record, error) {
	record, _, err := j.read(ctx, journal.HashKey(account, key))
	if errors.Is(err, platform.ErrNotFound) {
		return journal.Record{}, journal.ErrNotFound
	}
	return record, err
}

// write repeats the write until it has a definite answer, as the batched
// journal does.
func (j *singleJournal) write(ctx context.Context, record journal.Record, version uint64) error {
	data, err := json.Marshal(record)
	if err != nil {
		return err
	}
	wait := singleRetry
	for {
		_, err := j.store.Put(ctx, singleKind, nameOf(record.Hash), data, version)
		if !errors.Is(err, platform.ErrUnknown) && !errors.Is(err, platform.ErrRateLimited) {
			return err
		}
		if task.Sleep(ctx, wait/2+rand.N(wait)) != nil {
			return err
		}
		wait = min(2*wait, singleMaxWait)
	}
}

func (j *singleJournal) read(ctx context.Context, hash journal.KeyHash) (journal.Record, uint64, error) {
	object, err := j.store.Get(ctx, singleKind, nameOf(hash))
	if err != nil {
		return journal.Record{}, 0, err
	}
	var record journal.Record
	err = json.Unmarshal(object.Data, &record)
	return record, object.Version, err
}

func nameOf(hash journal.KeyHash) string {
	return hex.EncodeToString(hash[:])
}
