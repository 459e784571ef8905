package allowance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// maxLease is the longest time for which credit for calls that wait may be used: until a late answer has arrived.
	maxLease = 300 * time.Millisecond

	// aheadTime is the time for which credit for calls to come may be used.
	aheadTime = 3 * time.Second

	// minLease covers a round trip between regions. A lease is shorter only if too little may come at once.
	minLease = 200 * time.Millisecond

	// defaultWindow applies if the settings name no window.
	defaultWindow = 10 * time.Second

	// rateMargin is the part of an allowance that is left unused so that credit can be leased, unless the overshoot makes room.
	rateMargin = 0.05

	// Parts of what may come at once: the use of leased credit after it was granted, the shares of VMs without a leader, and what a new
	// leader may begin with. The bucket holds the rest.
	leasePart = 0.25
	sharePart = 0.1
	startPart = 0.2

	// shareRatePart is the part of the rate that the shares of all VMs have together.
	shareRatePart = 0.1

	// shareDelay is the time without an answer of a leader after which a VM uses its share.
	shareDelay = 1500 * time.Millisecond

	// shareLife is the time after a VM asked for a share until it may no longer use it. The leader can't tell a VM that is cut off from
	// one that has ended, so that the share of either goes to nobody else for this time.
	shareLife = 10 * time.Second

	// clockMargin is the part by which the clocks of two VMs may differ in speed.
	clockMargin = 0.01
)

// Bounds say how much more than its allowance a customer may get in any window of time.
type Bounds struct {
	Window    time.Duration
	Overshoot float64 // a share of the allowance
	Slack     float64 // units besides
}

// terms say how an allowance is divided, so that no window holds more than it may: what the bucket holds, what is granted at its rate
// during the window and one lease before it, and what the shares hold.
type terms struct {
	rate      float64 // units a second that the bucket is filled with
	size      float64 // of the bucket
	start     float64 // what a new leader's bucket begins with, at most once in a window
	lease     time.Duration
	shares    float64 // sum of what the shares may hold
	shareRate float64 // sum of their rates, which is taken from the bucket's while a VM may be using its share
}

func newTerms(a deck.Allowance, b Bounds) terms {
	if !a.Limited() {
		return terms{lease: maxLease}
	}
	window := b.window()
	rate := a.PerSecond * (1 - max(0, rateMargin-b.Overshoot))
	allowed := (a.PerSecond*window.Seconds()+a.Burst)*(1+b.Overshoot) + b.Slack
	atOnce := allowed - rate*window.Seconds()
	lease := min(maxLease, seconds(leasePart*atOnce/rate), max(minLease, seconds((atOnce-a.Burst)/rate/(1+clockMargin))))
	shares, start := sharePart*atOnce, startPart*atOnce
	return terms{
		rate: rate, size: atOnce - shares - start - rate*lease.Seconds()*(1+clockMargin), start: start, lease: lease,
		shares: shares, shareRate: shareRatePart * rate,
	}
}

// rateOfShare returns the rate at which a share of the given size fills.
func (t terms) rateOfShare(size float64) float64 {
	if t.shares <= 0 {
		return 0
	}
	return t.shareRate * size / t.shares
}

// settledTime returns the time after which a leader counts as settled: a window, and the use of credit before and after it.
func (b Bounds) settledTime() time.Duration {
	return withMargin(b.window() + maxLease + aheadTime)
}

func (b Bounds) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// withMargin returns a time that has passed on another VM's clock as well when it has passed on this one.
func withMargin(d time.Duration) time.Duration {
	return d + time.Duration(clockMargin*float64(d))
}
