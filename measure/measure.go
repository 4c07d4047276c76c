// Package measure is the experiment tool: scenarios that run real routers on
// loopback with stand-in targets under a policy and a seed, and give figures.
package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/rs/zerolog"
)

// ErrUnknownScenario is returned for a name that no scenario has.
var ErrUnknownScenario = errors.New("measure: unknown scenario")

// ErrUnknownPolicy is returned for a policy that the scenario does not compare.
var ErrUnknownPolicy = errors.New("measure: unknown policy")

// DefaultSeed is the seed where none is given.
const DefaultSeed = 1

// Options say how to run a scenario.
type Options struct {
	// Policy runs one policy only; empty runs all that the scenario compares.
	Policy string
	Seed   uint64
	// Progress takes a line now and then; never nil.
	Progress io.Writer
	Log      zerolog.Logger
}

// Wants reports whether a policy is to be run.
func (o Options) Includes(policy string) bool {
	return o.Policy == "" || o.Policy == policy
}

// Scenario is one experiment.
type Scenario struct {
	Name    string
	Summary string
	// Policies names what the scenario compares.
	Policies []string
	Run      func(ctx context.Context, o Options) (Report, error)
}

// Result is the figures of one policy: a struct with JSON names.
type Result struct {
	Policy  string
	Figures any
}

// Report is what a scenario found.
type Report struct {
	Scenario string
	Seed     uint64
	Results  []Result
	// Chart is drawn by --plot; nil where there is nothing to draw.
	Chart *Chart
}

// MarshalJSON gives {"scenario","seed","policies":{NAME:{...}}}.
func (r Report) MarshalJSON() ([]byte, error) {
	policies := map[string]any{}
	for _, result := range r.Results {
		policies[result.Policy] = result.Figures
	}
	return json.Marshal(struct {
		Scenario string         `json:"scenario"`
		Seed     uint64         `json:"seed"`
		Policies map[string]any `json:"policies"`
	}{r.Scenario, r.Seed, policies})
}

var scenarios = map[string]Scenario{}

// Register adds a scenario; it is called from init functions.
func Register(s Scenario) {
	if _, ok := scenarios[s.Name]; ok {
		panic("measure: scenario registered twice: " + s.Name)
	}
	scenarios[s.Name] = s
}

// Scenarios returns all scenarios sorted by name.
func Scenarios() []Scenario {
	all := make([]Scenario, 0, len(scenarios))
	for _, s := range scenarios {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Run runs a scenario by name.
func Run(ctx context.Context, name string, o Options) (Report, error) {
	s, ok := scenarios[name]
	if !ok {
		return Report{}, fmt.Errorf("%w: %q", ErrUnknownScenario, name)
	}
	if o.Policy != "" && !slices.Contains(s.Policies, o.Policy) {
		return Report{}, fmt.Errorf("%w: %q; %s compares %s", ErrUnknownPolicy, o.Policy, name, strings.Join(s.Policies, ", "))
	}
	report, err := s.Run(ctx, o)
	report.Scenario, report.Seed = name, o.Seed
	return report, err
}

// WriteText writes a report as text: a block a policy, a line a figure.
func WriteText(w io.Writer, r Report) error {
	fmt.Fprintf(w, "%s, seed %d\n", r.Scenario, r.Seed)
	for _, result := range r.Results {
		fmt.Fprintf(w, "\n%s\n", result.Policy)
		fields, err := figureFields(result.Figures)
		if err != nil {
			return err
		}
		for _, f := range fields {
			fmt.Fprintf(w, "  %-36s %s\n", f.name, f.value)
		}
	}
	return nil
}

type figureField struct {
	name  string
	value string
}

// flatten lists the JSON fields of a figures struct in their order.
func figureFields(figures any) ([]figureField, error) {
	raw, err := json.Marshal(figures)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	var fields []figureField
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, err
		}
		fields = append(fields, figureField{fmt.Sprint(name), string(value)})
	}
	return fields, nil
}
