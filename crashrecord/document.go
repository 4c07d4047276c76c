package crashrecord

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/quarantine"
)

// document is the object in the store.
type document struct {
	// WrittenAt is when it was written, by the clock of the router that did, in milliseconds
	// since 1970.
	WrittenAt int64 `json:"written_at_ms"`
	// Evidence is the CBOR encoding of quarantine.Evidence, with ages as of WrittenAt.
	Evidence []byte `json:"evidence"`
}

// encode returns the document of evidence with ages as of now.
func encode(e quarantine.Evidence, now time.Time) (json.RawMessage, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("crashrecord: encode: %w", err)
	}
	spec, err := json.Marshal(document{WrittenAt: now.UnixMilli(), Evidence: data})
	if err != nil {
		return nil, fmt.Errorf("crashrecord: encode: %w", err)
	}
	return spec, nil
}

// decode returns the evidence of a document with ages as of now, and the time for which it has been there. Where the clocks of two VMs differ so
// that it seems to be of the future, its ages are taken as they were written.
func decode(spec json.RawMessage, now time.Time) (quarantine.Evidence, time.Duration, error) {
	var d document
	if err := json.Unmarshal(spec, &d); err != nil {
		return quarantine.Evidence{}, 0, fmt.Errorf("crashrecord: decode: %w", err)
	}
	var e quarantine.Evidence
	if err := cbor.Unmarshal(d.Evidence, &e); err != nil {
		return quarantine.Evidence{}, 0, fmt.Errorf("crashrecord: decode: %w", err)
	}
	age := max(now.Sub(time.UnixMilli(d.WrittenAt)), 0)
	return e.Aged(age), age, nil
}

// contents returns what tells two documents apart, other than ages.
func contents(e quarantine.Evidence) []string {
	var list []string
	for _, v := range e.Verdicts {
		list = append(list, fmt.Sprint("part ", v.Part))
	}
	for _, v := range e.Sets {
		list = append(list, fmt.Sprint("set ", v.Members))
	}
	for i, c := range e.Crashes {
		digest := uint64(0)
		if i < len(e.Attempts) {
			digest = e.Attempts[i].Digest
		}
		list = append(list, fmt.Sprint("crash ", c.TargetHash, digest, slices.Sorted(slices.Values(c.Parts))))
	}
	slices.Sort(list)
	return list
}
