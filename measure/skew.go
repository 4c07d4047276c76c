package measure

import (
	"context"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

func init() {
	Register(Scenario{
		Name:     "skew",
		Summary:  "load of the busiest engine over the mean under a surge, a hot shared prompt and differing views",
		Policies: policyNames(),
		Run:      runSkew,
	})
}

// The phases of one run.
const (
	skewWarmUp        = 3500 * time.Millisecond
	skewBeforeSurge   = 1500 * time.Millisecond
	skewSurgeDuration = 3 * time.Second
	skewAfterSurge    = 1500 * time.Millisecond
	// loadReportDelay is the age of the engines' load reports.
	loadReportDelay = 2 * time.Second
	// The surge adds skewSurgeUsers to skewBaseUsers, which makes ten times the
	// base.
	skewBaseUsers  = 20
	skewSurgeUsers = 180
)

func runSkew(ctx context.Context, o Options) (Report, error) {
	return runChatPolicies(ctx, o, "Skew under a surge", measureSkew)
}

func measureSkew(ctx context.Context, o Options, policy placement.Policy) (chatFigures, error) {
	e, err := startExperiment(ctx, o, policy, document{
		"placement": document{"load_multiple": reuseLoadMultiple, "reuse_weight": 1},
	}, configureSkewEngine)
	if err != nil {
		return chatFigures{}, err
	}
	defer e.close()
	generators := []*loadGenerator{
		startLoadGenerator(ctx, e.testbed, e.client, e.stats, skewLoad(quietAccount, 280, o.Seed)),
		startLoadGenerator(ctx, e.testbed, e.client, e.stats, hotPromptLoad(skewBaseUsers, o.Seed)),
	}
	_ = sleep.For(ctx, skewWarmUp)
	e.startWindow()
	_ = sleep.For(ctx, skewBeforeSurge)
	surge := startLoadGenerator(ctx, e.testbed, e.client, e.stats, hotPromptLoad(skewSurgeUsers, o.Seed+1))
	err = e.replaceRouter(ctx)
	surge.cancel()
	_ = sleep.For(ctx, skewAfterSurge)
	e.endWindow()
	for _, g := range append(generators, surge) {
		g.stop()
	}
	return e.figures(), err
}

// replaceRouter kills a router during the surge and later starts another one, so
// that the routers' membership views, and the homes they derive from them, differ
// for some time.
func (e *experiment) replaceRouter(ctx context.Context) error {
	_ = sleep.For(ctx, skewSurgeDuration/3)
	killed := e.testbed.Routers()[0]
	domain := killed.Router.Self().Domain
	killed.Kill()
	e.testbed.RemoveVM(string(killed.Router.Self().ID))
	_ = sleep.For(ctx, skewSurgeDuration/3)
	id := fleet.RouterID(fmt.Sprintf("%s-r9", domain))
	if _, err := e.testbed.StartRouter(id, domain); err != nil {
		return err
	}
	_ = sleep.For(ctx, skewSurgeDuration/3)
	return nil
}

func configureSkewEngine(c *standin.EngineConfig) {
	configureReuseEngine(c)
	c.Faults.LoadReportDelay = loadReportDelay
}

func skewLoad(account fleet.AccountName, users int, seed uint64) loadConfig {
	c := reuseLoad(seed)
	c.account, c.users = account, users
	return c
}

// hotPromptLoad returns the load of an account whose chats all begin with the same
// shared prompt.
func hotPromptLoad(users int, seed uint64) loadConfig {
	c := skewLoad(surgeAccount, users, seed)
	c.sharedPrompts, c.sharedPromptShare = 1, 1
	return c
}
