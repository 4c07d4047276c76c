// Package measure runs experiments: scenarios that run real routers on loopback
// with stand-in targets under a policy and a seed, and report figures.
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

// ErrUnknownScenario is returned by Run if no scenario has the given name.
var ErrUnknownScenario = errors.New("measure: unknown scenario")

// ErrUnknownPolicy is returned by Run if the scenario does not compare the given
// policy.
var ErrUnknownPolicy = errors.New("measure: unknown policy")

// DefaultSeed is the seed of the workload and the faults if none is given.
const DefaultSeed = 1

// Options configures one run of a scenario.
type Options struct {
	// Policy is the only policy to run; empty runs all that the scenario compares.
	Policy string
	Seed   uint64
	// Progress receives progress messages, one per line. It must not be nil.
	Progress io.Writer
	Log      zerolog.Logger
}

// Includes reports whether the options select a policy to run.
func (o Options) Includes(policy string) bool {
	return o.Policy == "" || o.Policy == policy
}

// Scenario is one experiment that can be run by name.
type Scenario struct {
	Name    string
	Summary string
	// Policies are the names of the policies that the scenario compares.
	Policies []string
	Run      func(ctx context.Context, o Options) (Report, error)
}

// Result holds the figures of one policy. Figures is a struct with JSON tags.
type Result struct {
	Policy  string
	Figures any
}

// Report holds the results of a scenario.
type Report struct {
	Scenario string
	Seed     uint64
	Results  []Result
	// Chart is written by the --plot flag; nil if the scenario has no chart.
	Chart *Chart
}

// MarshalJSON encodes the report as {"scenario","seed","policies":{NAME:{...}}}.
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

// Register adds a scenario. It panics if the name is already registered. It is
// called from init functions and is not safe for concurrent use.
func Register(scenario Scenario) {
	if _, ok := scenarios[scenario.Name]; ok {
		panic("measure: scenario registered twice: " + scenario.Name)
	}
	scenarios[scenario.Name] = scenario
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

// Run runs a scenario by name. It returns ErrUnknownScenario or ErrUnknownPolicy
// for names that do not exist.
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

// WriteText writes a report as text, with one block per policy and one line per
// figure.
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

// figureFields returns the top-level JSON fields of a figures struct in order of
// declaration.
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
