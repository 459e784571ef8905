package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
)

// TestNewLeaderWidensNoRetryBudget guards against VMs that each take a large part of the retry budget when the leader changes, because
// the new one hears of the VMs one by one and tells the first of them that there are few.
func TestNewLeaderWidensNoRetryBudget(t *testing.T) {
	is := is.New(t)
	const vms, slack = 8, 80
	e := &entryVM{
		settings: settings.Settings{Bounds: settings.Bounds{RetryWindow: 10 * time.Second, RetryShare: 0.2, RetrySlack: slack}},
		budget:   &balance.RetryBudget{}, restraints: &restraint.Table{},
		balancer: balance.NewBalancer(func(deck.DataCentre) balance.Distance { return balance.SameDataCentre }, newRand(), &restraint.Table{}),
	}
	e.setVMs(vms)
	e.setVMs(1)
	retries := 0
	for e.budget.TakeRetry(time.Now(), "svc") {
		retries++
	}
	is.True(retries <= slack/vms)
}
