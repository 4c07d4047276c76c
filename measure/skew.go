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
		Summary:  "load of the busiest engine against the mean under a surge, a hot sheet and differing views",
		Policies: policyNames(),
		Run:      runSkew,
	})
}

// The course of one run.
const (
	skewWarm  = 3500 * time.Millisecond
	skewCalm  = 1500 * time.Millisecond
	skewSurge = 3 * time.Second
	skewAfter = 1500 * time.Millisecond
	// skewLag is how old the engines' load reports are.
	skewLag = 2 * time.Second
	// surgeUsers is ten times quietSurgeUsers.
	quietSurgeUsers = 20
	surgeUsers      = 180
)

func runSkew(ctx context.Context, o Options) (Report, error) {
	return runChatPolicies(ctx, o, "Skew under a surge", skewOf)
}

func skewOf(ctx context.Context, o Options, policy placement.Policy) (chatFigures, error) {
	e, err := startExperiment(ctx, o, policy, document{
		"placement": document{"load_multiple": reuseMultiple, "reuse_weight": 1},
	}, skewEngine)
	if err != nil {
		return chatFigures{}, err
	}
	defer e.close()
	crowds := []*crowd{
		startCrowd(ctx, e.bed, e.client, e.tally, skewCrowd(quietAccount, 280, o.Seed)),
		startCrowd(ctx, e.bed, e.client, e.tally, hotCrowd(quietSurgeUsers, o.Seed)),
	}
	_ = sleep.For(ctx, skewWarm)
	e.begin()
	_ = sleep.For(ctx, skewCalm)
	surge := startCrowd(ctx, e.bed, e.client, e.tally, hotCrowd(surgeUsers, o.Seed+1))
	err = e.replaceRouter(ctx)
	surge.cancel()
	_ = sleep.For(ctx, skewAfter)
	e.end()
	for _, c := range append(crowds, surge) {
		c.stop()
	}
	return e.figures(), err
}

// replaceRouter kills a router in the middle of the surge and starts another,
// so that the routers' views and their choice of homes differ for a while.
func (e *experiment) replaceRouter(ctx context.Context) error {
	_ = sleep.For(ctx, skewSurge/3)
	victim := e.bed.Members()[0]
	domain := victim.Router.Self().Domain
	victim.Kill()
	e.bed.RemoveVM(string(victim.Router.Self().ID))
	_ = sleep.For(ctx, skewSurge/3)
	id := fleet.RouterID(fmt.Sprintf("%s-r9", domain))
	if _, err := e.bed.StartRouter(id, domain); err != nil {
		return err
	}
	_ = sleep.For(ctx, skewSurge/3)
	return nil
}

func skewEngine(c *standin.EngineConfig) {
	reuseEngine(c)
	c.Faults.LoadLag = skewLag
}

func skewCrowd(account fleet.AccountName, users int, seed uint64) crowdConfig {
	c := reuseCrowd(seed)
	c.account, c.users = account, users
	return c
}

// hotCrowd is an account whose chats all begin with one sheet.
func hotCrowd(users int, seed uint64) crowdConfig {
	c := skewCrowd(surgeAccount, users, seed)
	c.sheets, c.sheetShare = 1, 1
	return c
}
