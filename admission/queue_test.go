package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/fleet"
)

// TestQueueMatchesListModel compares the queue with a simple list: no request is
// lost or invented, the bound holds, higher priorities are served first, and
// requests of one account and priority keep their order.
func TestQueueMatchesListModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		q := &Queue[int]{}
		var list []QueueItem[int]
		drop := func(v int) QueueItem[int] {
			for i, w := range list {
				if w.Value == v {
					list = append(list[:i:i], list[i+1:]...)
					return w
				}
			}
			t.Fatalf("request %d is not waiting", v)
			return QueueItem[int]{}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				w := QueueItem[int]{
					Account:  fleet.AccountName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
					Weight:   rapid.Float64Range(0, 3).Draw(t, "weight"),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Cost:     rapid.Float64Range(0, 5).Draw(t, "cost"),
					Value:    i,
				}
				full := len(list) == limit
				displaced, refusal := q.Push(w, limit)
				if refusal != nil && !full {
					t.Fatalf("refused with %d of %d requests waiting", len(list), limit)
				}
				for _, v := range displaced {
					if old := drop(v); old.Priority > w.Priority {
						t.Fatalf("request of priority %d displaced by one of priority %d", old.Priority, w.Priority)
					}
				}
				if refusal == nil {
					list = append(list, w)
				}
			case 2:
				head, waiting := q.Head()
				w, ok := q.Pop()
				if ok != (len(list) > 0) || ok != waiting || head != w {
					t.Fatalf("pop: got %v %t, head %v, %d requests waiting", w, ok, head, len(list))
				}
				if !ok {
					continue
				}
				for _, other := range list {
					if other.Priority > w.Priority {
						t.Fatalf("%v served before %v of higher priority", w, other)
					}
					if other.Priority == w.Priority && other.Account == w.Account && other.Value < w.Value {
						t.Fatalf("%v served before the older %v", w, other)
					}
				}
				drop(w.Value)
			case 3:
				if len(list) == 0 {
					continue
				}
				w := list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
				if !q.Remove(w.Value) {
					t.Fatalf("%v not found", w)
				}
				drop(w.Value)
			}
			if q.Len() != len(list) || q.Len() > limit {
				t.Fatalf("length: got %d, want %d, limit %d", q.Len(), len(list), limit)
			}
		}
	})
}

// TestBackloggedAccountsShareByWeight checks that the work served per weight of
// two always backlogged accounts differs by at most one largest request of each.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "accounts")
		q := &Queue[int]{}
		weights := make([]float64, n)
		largest := make([]float64, n)
		done := make([]float64, n)
		value := 0
		push := func(a int) {
			cost := rapid.Float64Range(0.5, 4).Draw(t, "cost")
			largest[a] = max(largest[a], cost/weights[a])
			value++
			w := QueueItem[int]{Account: account(a), Weight: weights[a], Cost: cost, Value: value}
			if _, refusal := q.Push(w, 1000); refusal != nil {
				t.Fatal(refusal)
			}
		}
		for a := range n {
			weights[a] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			for range 3 {
				push(a)
			}
		}
		for range rapid.IntRange(10, 60).Draw(t, "pops") {
			w, _ := q.Pop()
			for a := range n {
				if account(a) == w.Account {
					done[a] += w.Cost / weights[a]
					push(a)
				}
			}
		}
		for a := range n {
			for b := range n {
				if done[a]-done[b] > largest[a]+largest[b]+1e-9 {
					t.Fatalf("account %d is too far ahead of %d: %.2f and %.2f served per weight", a, b, done[a], done[b])
				}
			}
		}
	})
}

func account(i int) fleet.AccountName {
	return fleet.AccountName(fmt.Sprintf("account-%d", i))
}

// TestSurgeDoesNotDelayQuietAccount checks that a request of a quiet account waits
// for at most one request of each other account, however many they have queued.
func TestSurgeDoesNotDelayQuietAccount(t *testing.T) {
	q := &Queue[int]{}
	for i := range 200 {
		if _, refusal := q.Push(QueueItem[int]{Account: "loud", Value: i}, 256); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for range 20 {
		q.Pop()
	}
	if _, refusal := q.Push(QueueItem[int]{Account: "quiet", Value: 1000}, 256); refusal != nil {
		t.Fatal(refusal)
	}
	for ahead := range 3 {
		w, _ := q.Pop()
		if w.Account == "quiet" {
			return
		}
		if ahead == 2 {
			t.Fatal("two requests of the surging account were served before the quiet one")
		}
	}
}

// TestFullQueueDisplacesAccountWithMostWork checks that a full queue displaces a
// request of the account with the most queued work, and refuses that account.
func TestFullQueueDisplacesAccountWithMostWork(t *testing.T) {
	q := &Queue[int]{}
	for i := range 10 {
		if _, refusal := q.Push(QueueItem[int]{Account: "loud", Value: i}, 10); refusal != nil {
			t.Fatal(refusal)
		}
	}
	displaced, refusal := q.Push(QueueItem[int]{Account: "quiet", Value: 100}, 10)
	if refusal != nil || len(displaced) != 1 || displaced[0] != 9 {
		t.Fatalf("quiet account: got displaced %v, refusal %v, want [9] displaced and no refusal", displaced, refusal)
	}
	if _, refusal := q.Push(QueueItem[int]{Account: "loud", Value: 11}, 10); refusal == nil {
		t.Fatal("full queue accepted a request of the surging account")
	}
}
