package orders

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
)

// State is the processing state of the request with a given key.
type State string

// The states.
const (
	Running   State = "running"
	Completed State = "completed"
	Unknown   State = "unknown"
)

// Status describes the request with a given key.
type Status struct {
	State State
	// Answer is set for Completed.
	Answer *keyjournal.Response
}

// Outcome returns the outcome word reported to the caller.
func (s Status) Outcome() outcome.Label {
	if s.State == Completed {
		return outcome.Completed
	}
	return outcome.Unknown
}

// Lookup returns the status of the request with a client account's key, or the
// reason why it cannot be determined. A key without a record may belong to a
// request that has not arrived yet, so it is not reported as not run.
func (s *Server) Lookup(ctx context.Context, account fleet.AccountName, key string) (Status, reason.Code) {
	record, err := s.cfg.Journal.Lookup(ctx, account, key)
	if err != nil {
		return Status{}, findReason(err)
	}
	ctx, cancel := context.WithTimeout(ctx, findJoinTimeout)
	defer cancel()
	record, err = s.cfg.Journal.Join(ctx, record)
	switch {
	case errors.Is(err, keyjournal.ErrNotRun):
		return Status{}, reason.NotFound
	case record.State == keyjournal.StateIntent:
		return Status{State: Running}, reason.None
	case record.State == keyjournal.StateCompleted:
		return Status{State: Completed, Answer: record.Response}, reason.None
	default:
		return Status{State: Unknown}, reason.None
	}
}

func findReason(err error) reason.Code {
	switch {
	case errors.Is(err, keyjournal.ErrNotFound):
		return reason.NotFound
	case errors.Is(err, keyjournal.ErrExpired):
		return reason.KeyExpired
	default:
		return reason.JournalUnavailable
	}
}
