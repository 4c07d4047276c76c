package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// Options configures a soak.
type Options struct {
	// Program is the path of the router's binary. OldProgram is that of an older build with
	// which the routers start and which they replace one after the other; empty means none.
	Program    string
	OldProgram string
	Seed       uint64
	Duration   time.Duration
	Routers    int
	Clients    int
	// FaultLanes is the number of concurrent fault sequences.
	FaultLanes int
	// CrashingPart adds requests with a prompt part that crashes targets, CrashingRequest
	// repeats of a request that does, of the kind CrashingKind; empty means lookups.
	CrashingPart, CrashingRequest bool
	CrashingKind                  string
	// CrashStyle is what crashed targets do; empty means CrashRefuses.
	CrashStyle CrashStyle
	// Limits lets targets name limits for a while.
	Limits bool
	// Cold makes half of the engines cold by turns, and new ones, which fall over if they get too
	// much.
	Cold bool
	// Quiet lets targets reject some requests and ask for quiet.
	Quiet bool
	// Versions makes engines of two software versions serve side by side. KillAll ends all
	// routers at once, which forget what they know of crashes.
	Versions, KillAll bool
	// StoreCopies makes the store come back from copies some seconds old.
	StoreCopies bool
	// OutsideLimits adds clients that keep to no limit.
	OutsideLimits bool
	// Evacuations evacuates failure domains, one after the other.
	Evacuations bool
	// Stops stops routers by plan, one or two at a time, while the length of streams changes.
	Stops bool
	// RouterCut cuts a router off from the store and from the others for so long; zero means never.
	RouterCut time.Duration
	// Skews is the number of services whose targets get new software versions, one service after the other,
	// while routers are out of step: cut off, delayed or stopped. Routers reach each other through a network of
	// the soak then.
	Skews int
	// Dir is the directory for the routers' logs. If it is empty, a temporary
	// directory is created, and removed again if there is no violation.
	Dir string
}

// Report is the result of a soak. Its JSON form is the output of `ragwort soak
// --json`.
type Report struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Served   int            `json:"served"`
	Runs     int            `json:"runs"`
	Faults   map[string]int `json:"faults"`
	Planned  map[string]int `json:"planned"`
	// CutStreams are the streams that the router was asked for which was cut off.
	CutStreams CutStreams `json:"cut_streams"`
	// StoppedStreams are those that were sent to a router late in its planned stop.
	StoppedStreams StoppedStreams `json:"stopped_streams"`
	// SkewedStreams are those of services whose versions changed while routers were out of step.
	SkewedStreams SkewedStreams `json:"skewed_streams"`
	Violations    int           `json:"violations"`
	Found         []Violation   `json:"found,omitempty"`
	// Logs is the directory with the routers' logs; empty without a violation.
	Logs string `json:"logs,omitempty"`
}

// Validate returns an error that names the first option with an unknown value.
func (o *Options) Validate() error {
	if o.CrashStyle != "" && !slices.Contains(crashStyles, o.CrashStyle) {
		return fmt.Errorf("soak: crash style %q, want one of %q", o.CrashStyle, crashStyles)
	}
	if o.CrashingKind != "" && !slices.ContainsFunc(kinds, func(k Kind) bool { return k.Name == o.CrashingKind && !k.Once }) {
		return fmt.Errorf("soak: kind %q of the request that crashes targets, want lookup or dossier", o.CrashingKind)
	}
	if o.OldProgram != "" && o.Evacuations {
		return errors.New("soak: an older build may not know the setting for evacuations")
	}
	return nil
}

// Phases of a soak.
const (
	// warmUp is the time before the first fault; recoveryTime is the time after
	// the last one, at whose end the system must have recovered.
	warmUp       = 2 * time.Second
	recoveryTime = settleTime + 2*time.Second
)

// Play runs one soak with the seed of o and checks its history. The error is about
// the set-up of the soak; violations are in the report.
func Play(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	dir := o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "ragwort-soak-"); err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
	}
	env, err := newEnvironment(dir, &o)
	if env != nil {
		defer env.close()
	}
	if err != nil {
		return nil, err
	}
	h, planned := runScenario(ctx, env, o)
	report := newReport(o, h, planned)
	if report.Violations > 0 {
		report.Logs = dir
	} else if o.Dir == "" {
		// A directory that cannot be removed does no harm.
		_ = os.RemoveAll(dir)
	}
	return report, nil
}

// runScenario runs clients and faults concurrently. It returns the history and the
// number of planned operations by kind.
func runScenario(ctx context.Context, env *environment, o Options) (*History, map[string]int) {
	var mu sync.Mutex
	h := &History{
		Events: eventsPerStream, Event: standin.EventText,
		PlainBody: func(id string) string { return (&standin.Target{ID: id}).ResponseBody() },
		Repeats:   repeatLimits, SeveralVersions: o.Versions || o.Skews > 0, CrashesToQuarantine: crashesToQuarantine(o),
	}
	planned := map[string]int{}
	// No guarantee holds while the routers start.
	h.Faults = append(h.Faults, FaultInterval{Kind: "start", From: time.Now().Add(-time.Minute), To: time.Now().Add(warmUp)})
	clientCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var all sync.WaitGroup
	env.sendPrompts = o.CrashingPart
	env.crashStyle, env.crashingKind = o.CrashStyle, cmp.Or(o.CrashingKind, "lookup")
	requestCtx, requestsEnded := context.WithCancel(ctx)
	all.Go(func() {
		defer requestsEnded()
		runClients(clientCtx, env, o.Clients, o.Seed, func(r Request) {
			mu.Lock()
			defer mu.Unlock()
			h.Requests = append(h.Requests, r)
		})
	})
	faultCtx, stopFaults := context.WithTimeout(ctx, max(o.Duration-recoveryTime, warmUp))
	defer stopFaults()
	newInjector := func(stream uint64) *injector {
		return &injector{
			environment: env, random: rand.New(rand.NewPCG(o.Seed, stream)),
			recordFault: func(s FaultInterval) {
				mu.Lock()
				defer mu.Unlock()
				h.Faults = append(h.Faults, s)
			},
			countPlanned: func(kind string) {
				mu.Lock()
				defer mu.Unlock()
				planned[kind]++
			},
			recordChange: func(m Change) {
				mu.Lock()
				defer mu.Unlock()
				h.Changes = append(h.Changes, m)
			},
		}
	}
	if o.CrashingPart || o.CrashingRequest {
		all.Go(func() { newInjector(2000).sendCrashing(requestCtx, o.CrashingPart, o.CrashingRequest) })
	}
	if o.Limits {
		all.Go(func() { h.Limits = newInjector(2001).limitTargets(clientCtx) })
	}
	if o.Cold {
		all.Go(func() { newInjector(2007).coolTargets(clientCtx) })
	}
	if o.Quiet {
		all.Go(func() { newInjector(2003).askForQuiet(clientCtx) })
	}
	if o.OldProgram != "" {
		all.Go(func() { newInjector(2004).upgrade(faultCtx, o.Program) })
	}
	if o.StoreCopies {
		all.Go(func() { newInjector(2005).loseStore(faultCtx) })
	}
	if o.OutsideLimits {
		all.Go(func() { newInjector(2009).sendOutsideLimits(clientCtx) })
	}
	if o.Evacuations {
		all.Go(func() { h.Evacuations = newInjector(2007).evacuate(faultCtx) })
	}
	if o.RouterCut > 0 {
		all.Go(func() { newInjector(2006).cutRouterOff(clientCtx, o.RouterCut) })
	}
	if o.Skews > 0 {
		all.Go(func() {
			h.Skewed = newInjector(2011).skewVersions(faultCtx, func(r Request) {
				mu.Lock()
				defer mu.Unlock()
				h.Requests = append(h.Requests, r)
			})
		})
	}
	if o.Stops {
		all.Go(func() { h.Stops = newInjector(2010).stopRouters(faultCtx) })
	}
	if o.KillAll {
		all.Go(func() { newInjector(2002).killAll(faultCtx) })
	}
	for lane := range o.FaultLanes {
		i := newInjector(1000 + uint64(lane))
		all.Go(func() {
			select {
			case <-time.After(warmUp):
				i.run(faultCtx)
			case <-faultCtx.Done():
			}
		})
	}
	all.Wait()
	h.Runs, h.Arrivals = env.observations()
	h.Crashes = env.allCrashes()
	h.Colds = env.allColds()
	return h, planned
}

// crashesToQuarantine returns the number of crashes of each service from which on what crashes
// its targets must be quarantined.
func crashesToQuarantine(o Options) map[string]int {
	crashes := map[string]int{engineName: crashesOfPart, plainName: crashesOfRequest}
	if o.CrashingRequest && !o.CrashingPart {
		crashes[engineName] = crashesOfRequest
	}
	return crashes
}

// observations returns the runs and arrivals that the targets recorded.
func (env *environment) observations() ([]Run, []Arrival) {
	env.mu.Lock()
	defer env.mu.Unlock()
	var all []Run
	var arrivals []Arrival
	for _, t := range append(append([]*target{}, env.active...), env.replaced...) {
		for _, r := range t.Runs() {
			all = append(all, Run{Target: t.ID, ID: r.Request, Account: r.Account, Credential: r.Credential, At: r.At, Version: t.Version})
		}
		for _, a := range t.Arrivals() {
			arrivals = append(arrivals, Arrival{Service: t.Service, Target: t.ID, Domain: t.Zone, ID: a.Request, At: a.At, Quiet: quiet(a)})
		}
	}
	return all, arrivals
}

// quiet returns the time for which a target asked for no requests as it rejected one.
func quiet(a standin.Arrival) time.Duration {
	// An empty text gives zero: the target did not ask.
	seconds, _ := strconv.ParseFloat(a.RetryAfter, 64)
	return time.Duration(seconds * float64(time.Second))
}

func newReport(o Options, h *History, planned map[string]int) *Report {
	r := &Report{Seed: o.Seed, Requests: len(h.Requests), Runs: len(h.Runs), Faults: map[string]int{}, Planned: planned}
	for _, f := range h.Faults {
		r.Faults[f.Kind]++
	}
	delete(r.Faults, "start")
	for i := range h.Requests {
		if h.Requests[i].Status == 200 && h.Requests[i].Err == "" {
			r.Served++
		}
	}
	r.CutStreams = h.cutStreams()
	r.StoppedStreams = h.stoppedStreams()
	r.SkewedStreams = h.Skewed
	r.Found = Check(h)
	r.Violations = len(r.Found)
	return r
}
