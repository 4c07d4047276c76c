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

// race is several operators who change the same objects over a platform that
// loses answers; the platform's log is the oracle.
type race struct {
	objects *standin.Objects
	writer  *writer
	holds   [3]map[string]uint64
	writes  int
}

func newRace() *race {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	r := &race{objects: objects, writer: &writer{store: objects, revision: func() uint64 { return 0 }}}
	for i := range r.holds {
		r.holds[i] = map[string]uint64{}
	}
	return r
}

func (r *race) log(t *rapid.T) []objectapi.Change {
	faults := r.objects.Faults()
	r.objects.SetFaults(standin.Faults{})
	defer r.objects.SetFaults(faults)
	log, _, err := r.objects.Watch(context.Background(), []string{settings.KindRules}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// change lets one operator change an object from the version it holds, and
// compares what it is told with the log.
func (r *race) change(t *rapid.T) {
	who := rapid.IntRange(0, len(r.holds)-1).Draw(t, "operator")
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	r.writes++
	c := change{kind: settings.KindRules, name: name, data: fmt.Appendf(nil, "%d", r.writes), ifVersion: r.holds[who][name]}
	if c.ifVersion > 0 && rapid.Bool().Draw(t, "delete") {
		c.data = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	version, err := r.writer.apply(ctx, c)
	r.compare(t, c, r.log(t), version, err)
	if err == nil {
		r.holds[who][name] = version
		if c.data == nil {
			r.holds[who][name] = 0
		}
	}
}

// compare fails if an accepted change is not in the log at its version and
// condition, or a refused one is. Documents are all different; two deletions of
// the same version are one change.
func (r *race) compare(t *rapid.T, c change, log []objectapi.Change, version uint64, err error) {
	var stands []uint64
	before := uint64(0)
	for _, l := range log {
		if l.Object.Name != c.name {
			continue
		}
		if l.Deleted == (c.data == nil) && bytes.Equal(l.Object.Data, c.data) && before == c.ifVersion {
			stands = append(stands, l.Object.Version)
		}
		before = l.Object.Version
		if l.Deleted {
			before = 0
		}
	}
	switch {
	case err == nil && (len(stands) != 1 || stands[0] != version):
		t.Fatalf("%+v was told accepted at %d; it stands at %v", c, version, stands)
	case err != nil && c.data != nil && len(stands) > 0:
		t.Fatalf("%+v was told %v; it stands at %v", c, err, stands)
	case errors.Is(err, ErrUnresolved):
		t.Fatalf("%+v stayed unresolved: %v", c, err)
	}
}

// refresh lets one operator read an object.
func (r *race) refresh(t *rapid.T) {
	who := rapid.IntRange(0, len(r.holds)-1).Draw(t, "operator")
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	o, err := r.objects.Get(context.Background(), settings.KindRules, name)
	if err == nil || errors.Is(err, objectapi.ErrNotFound) {
		r.holds[who][name] = o.Version
	}
}

func (r *race) lose(t *rapid.T) {
	r.objects.SetFaults(standin.Faults{
		LoseAfter:  rapid.IntRange(0, 2).Draw(t, "after"),
		LoseBefore: rapid.IntRange(0, 2).Draw(t, "before"),
		Outage:     rapid.IntRange(0, 5).Draw(t, "outage") == 0,
	})
}

// TestOperatorsAreToldTheTruth checks every answer of racing operators against
// the platform's log: accepted means exactly once in it, refused means not.
func TestOperatorsAreToldTheTruth(t *testing.T) {
	retry := retryInterval
	retryInterval = 0
	defer func() { retryInterval = retry }()
	rapid.Check(t, func(rt *rapid.T) {
		r := newRace()
		rt.Repeat(map[string]func(*rapid.T){"change": r.change, "refresh": r.refresh, "lose answers": r.lose})
	})
}

// deletesBetween is a store whose first write takes effect, is then deleted by
// another operator, and whose answer is lost.
type deletesBetween struct {
	*standin.Objects
	done bool
}

func (d *deletesBetween) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	version, err := d.Objects.Put(ctx, kind, name, data, ifVersion)
	if d.done || err != nil {
		return version, err
	}
	d.done = true
	if _, err := d.Delete(ctx, kind, name, version); err != nil {
		return 0, err
	}
	return 0, objectapi.ErrUnknown
}

func TestRetryDoesNotUndoADeletion(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	w := &writer{store: &deletesBetween{Objects: objects}, revision: func() uint64 { return 0 }}
	version, err := w.apply(context.Background(), change{kind: settings.KindRules, name: "a", data: []byte("1")})
	if version != 1 || err != nil {
		t.Errorf("told %d, %v", version, err)
	}
	if _, err := objects.Get(context.Background(), settings.KindRules, "a"); !errors.Is(err, objectapi.ErrNotFound) {
		t.Errorf("the deletion was undone: %v", err)
	}
}

func TestOutageAfterLostAnswerIsUnresolved(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	objects.SetFaults(standin.Faults{LoseAfter: 1})
	w := &writer{store: &outageAfterWrite{objects}, revision: func() uint64 { return 0 }}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := w.apply(ctx, change{kind: settings.KindRules, name: "a", data: []byte("1")})
	if !errors.Is(err, ErrUnresolved) {
		t.Errorf("told %v", err)
	}
}

type outageAfterWrite struct{ *standin.Objects }

func (o *outageAfterWrite) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	defer o.SetFaults(standin.Faults{Outage: true})
	return o.Objects.Put(ctx, kind, name, data, ifVersion)
}
