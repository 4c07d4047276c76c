package standin_test

import (
	"errors"
	"testing"

	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/standin"
	"ragwortpond.example/ragwortpond/weights"
)

func TestServiceCountsExecutions(t *testing.T) {
	cases := map[string]struct {
		faults standin.ServiceFaults
		want   error
		runs   int
	}{
		"whole":     {standin.ServiceFaults{}, nil, 1},
		"lost":      {standin.ServiceFaults{LostRate: 1}, plain.ErrBroken, 1},
		"crossed":   {standin.ServiceFaults{WrongAttemptRate: 1}, plain.ErrMismatch, 1},
		"truncated": {standin.ServiceFaults{TruncatedRate: 1}, plain.ErrTruncated, 1},
		"refused":   {standin.ServiceFaults{RefuseRate: 1}, plain.ErrRefused, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := standin.StartService(standin.ServiceConfig{Faults: tc.faults})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Kill)
			call := plain.Call{Attempt: "a", Method: "PUT", Path: "/orders/1?x=2", Body: []byte(`{"key":"k"}`)}
			_, err = plain.NewClient(plain.ClientConfig{}).Do(t.Context(), s.Addr(), call)
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if n := s.Executions()["k"]; n != tc.runs {
				t.Errorf("executed %d times, want %d", n, tc.runs)
			}
		})
	}
}

func TestWeightsReturnsWait(t *testing.T) {
	w, err := standin.StartWeights(standin.WeightsConfig{LoadsPerMinute: 60, Artifacts: []string{"m"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Kill)
	c := weights.NewClient(weights.ClientConfig{Addr: w.Addr()})
	first, err := c.Reserve(t.Context(), "m")
	if err != nil || first.Delay != 0 {
		t.Fatalf("first reservation: got %v, %v; want no wait", first, err)
	}
	second, err := c.Reserve(t.Context(), "m")
	if err != nil || second.Delay <= 0 {
		t.Errorf("second reservation: got %v, %v; want a wait", second, err)
	}
	if _, err := c.Reserve(t.Context(), "x"); !errors.Is(err, weights.ErrNotFound) {
		t.Errorf("unknown artifact: got %v, want ErrNotFound", err)
	}
}
