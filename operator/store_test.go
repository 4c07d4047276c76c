package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// raceModel simulates several operators that change the same objects on a
// platform that loses answers. The platform's log is the reference for the
// results.
type raceModel struct {
	objects  *standin.Objects
	writer   *writer
	versions [3]map[string]uint64
	writes   int
}

func newRaceModel() *raceModel {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	r := &raceModel{objects: objects, writer: &writer{store: objects, revision: func() uint64 { return 0 }}}
	for i := range r.versions {
		r.versions[i] = map[string]uint64{}
	}
	return r
}

func (r *raceModel) log(t *rapid.T) []objectapi.Change {
	faults := r.objects.Faults()
	r.objects.SetFaults(standin.Faults{})
	defer r.objects.SetFaults(faults)
	log, _, err := r.objects.Watch(context.Background(), []string{settings.KindRules}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// change makes one operator change an object from the version it last saw, and
// compares the result with the log.
func (r *raceModel) change(t *rapid.T) {
	operator := rapid.IntRange(0, len(r.versions)-1).Draw(t, "operator")
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	r.writes++
	c := change{kind: settings.KindRules, name: name, data: fmt.Appendf(nil, "%d", r.writes), ifVersion: r.versions[operator][name]}
	if c.ifVersion > 0 && rapid.Bool().Draw(t, "delete") {
		c.data = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	version, err := r.writer.apply(ctx, c)
	r.compare(t, c, r.log(t), version, err)
	if err == nil {
		r.versions[operator][name] = version
		if c.data == nil {
			r.versions[operator][name] = 0
		}
	}
}

// compare fails if an accepted change is not in the log exactly once, at its
// version and condition, or if a rejected change is in the log. All documents
// differ; two deletions of the same version count as one change.
func (r *raceModel) compare(t *rapid.T, c change, log []objectapi.Change, version uint64, err error) {
	var loggedAt []uint64
	previous := uint64(0)
	for _, l := range log {
		if l.Object.Name != c.name {
			continue
		}
		if l.Deleted == (c.data == nil) && bytes.Equal(l.Object.Data, c.data) && previous == c.ifVersion {
			loggedAt = append(loggedAt, l.Object.Version)
		}
		previous = l.Object.Version
		if l.Deleted {
			previous = 0
		}
	}
	switch {
	case err == nil && (len(loggedAt) != 1 || loggedAt[0] != version):
		t.Fatalf("%+v: got accepted at version %d, log has it at %v", c, version, loggedAt)
	case err != nil && c.data != nil && len(loggedAt) > 0:
		t.Fatalf("%+v: got error %v, log has it at %v", c, err, loggedAt)
	case errors.Is(err, ErrUnresolved):
		t.Fatalf("%+v: got unresolved error %v", c, err)
	}
}

// refresh makes one operator read an object.
func (r *raceModel) refresh(t *rapid.T) {
	operator := rapid.IntRange(0, len(r.versions)-1).Draw(t, "operator")
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	o, err := r.objects.Get(context.Background(), settings.KindRules, name)
	if err == nil || errors.Is(err, objectapi.ErrNotFound) {
		r.versions[operator][name] = o.Version
	}
}

func (r *raceModel) injectFaults(t *rapid.T) {
	r.objects.SetFaults(standin.Faults{
		DropResponses: rapid.IntRange(0, 2).Draw(t, "after"),
		DropWrites:    rapid.IntRange(0, 2).Draw(t, "before"),
		Outage:        rapid.IntRange(0, 5).Draw(t, "outage") == 0,
	})
}

// TestResultsMatchPlatformLog checks the results of racing operators against
// the platform's log: an accepted change must be in it exactly once, a rejected
// one not at all. Lost answers must not lead to a wrong result.
func TestResultsMatchPlatformLog(t *testing.T) {
	interval := retryInterval
	retryInterval = 0
	defer func() { retryInterval = interval }()
	rapid.Check(t, func(rt *rapid.T) {
		r := newRaceModel()
		rt.Repeat(map[string]func(*rapid.T){"change": r.change, "refresh": r.refresh, "lose answers": r.injectFaults})
	})
}

// deleteAfterPut is a store whose first write takes effect and is then deleted
// by another operator, while the answer to the write is lost.
type deleteAfterPut struct {
	*standin.Objects
	deleted bool
}

func (d *deleteAfterPut) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	version, err := d.Objects.Put(ctx, kind, name, data, ifVersion)
	if d.deleted || err != nil {
		return version, err
	}
	d.deleted = true
	if _, err := d.Delete(ctx, kind, name, version); err != nil {
		return 0, err
	}
	return 0, objectapi.ErrResultUnknown
}

func TestRetryDoesNotUndoDeletion(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	w := &writer{store: &deleteAfterPut{Objects: objects}, revision: func() uint64 { return 0 }}
	version, err := w.apply(context.Background(), change{kind: settings.KindRules, name: "a", data: []byte("1")})
	if version != 1 || err != nil {
		t.Errorf("got version %d, error %v, want version 1", version, err)
	}
	if _, err := objects.Get(context.Background(), settings.KindRules, "a"); !errors.Is(err, objectapi.ErrNotFound) {
		t.Errorf("after the retry: got error %v, want ErrNotFound", err)
	}
}

func TestOutageAfterLostAnswerIsUnresolved(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	objects.SetFaults(standin.Faults{DropResponses: 1})
	w := &writer{store: &outageAfterWrite{objects}, revision: func() uint64 { return 0 }}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := w.apply(ctx, change{kind: settings.KindRules, name: "a", data: []byte("1")})
	if !errors.Is(err, ErrUnresolved) {
		t.Errorf("got %v, want ErrUnresolved", err)
	}
}

type outageAfterWrite struct{ *standin.Objects }

func (o *outageAfterWrite) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	defer o.SetFaults(standin.Faults{Outage: true})
	return o.Objects.Put(ctx, kind, name, data, ifVersion)
}
