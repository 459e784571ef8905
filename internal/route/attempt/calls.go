package attempt

import (
	"context"
	"crypto/rand"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// crashInterval is the time within which interrupted calls at one instance of a service count as one crash: its answers don't tell
// its processes apart.
const crashInterval = 2 * time.Second

// A ServiceCall is what is known of one call to a plain service with regard to crashes of its instances. What repeated calls have in
// common is to blame as a part of prompts is.
type ServiceCall struct {
	runner      *Runner
	digest      string   // of this call only
	repetitions []uint64 // what it has in common with them
}

// NewServiceCall returns a call that has each of the given texts in common with its repetitions, such as caller, target and content.
func (r *Runner) NewServiceCall(common ...string) ServiceCall {
	c := ServiceCall{runner: r, digest: rand.Text()}
	for _, text := range common {
		c.repetitions = append(c.repetitions, blame.PartFingerprint("call "+text))
	}
	return c
}

// IsRefused reports whether repetitions of the call have crashed instance after instance.
func (c ServiceCall) IsRefused() bool {
	return c.runner.isPoison(c.info())
}

// RecordInterruption records that an instance broke the call's connection, which its crash may explain, and tells the other VMs.
func (c ServiceCall) RecordInterruption(ctx context.Context, b deck.BackendName) {
	r := c.runner
	bootID := strconv.FormatInt(r.Clock.Now().UnixNano()/int64(crashInterval), 10)
	report := deck.CrashReport{Digest: c.digest, Backend: b, BootID: bootID, Parts: r.Parts.RecordCrash(c.info(), b, bootID)}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashReportWait)
	defer cancel()
	_ = r.Poison.ReportCrash(ctx, report) // counts here even on error
}

// RecordCompletion records that an instance has answered the call.
func (c ServiceCall) RecordCompletion() {
	c.runner.reportSound(c.runner.Parts.RecordSound(c.repetitions))
}

func (c ServiceCall) info() deck.RequestInfo {
	return deck.RequestInfo{Digest: c.digest, Parts: c.repetitions}
}
