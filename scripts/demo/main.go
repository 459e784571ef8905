// Command demo starts the single-machine example on loopback and shows serving, idempotency, failover and draining.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

const (
	totalTimeout     = 60 * time.Second
	stepTimeout      = 20 * time.Second
	answerTokens     = 20
	longAnswerTokens = 200
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout)
	start := time.Now()
	err := run(ctx)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Printf("demo passed in %s\n", time.Since(start).Round(100*time.Millisecond))
}

func run(ctx context.Context) (err error) {
	d, err := deployment.New("bin/geraniumdeck", "examples/single-machine.yaml", "examples/single-machine-ticket-1.yaml")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			d.WriteLogs(os.Stderr)
		}
		err = errors.CombineErrors(err, d.Close())
	}()
	r := &runner{d: d}
	for _, step := range []func(context.Context) error{
		r.startProcesses, r.applyTicket, r.streamTwoModels, r.bookTwice, r.killLeader, r.killEntry, r.drainEntry,
	} {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err = step(stepCtx)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// A runner runs the steps of the demo on one deployment.
type runner struct {
	d *deployment.Deployment
}

func reportf(format string, args ...any) {
	fmt.Printf("demo: "+format+"\n", args...)
}

func (r *runner) startProcesses(ctx context.Context) error {
	if err := r.d.StartEmulators(); err != nil {
		return err
	}
	if err := r.d.StartVMs(ctx); err != nil {
		return err
	}
	reportf("started 3 control and 3 entry processes in three data centres, 4 engines, 1 service")
	return nil
}

func (r *runner) applyTicket(ctx context.Context) error {
	out, err := r.d.ApplyTicket(ctx, r.d.Ticket)
	if err != nil {
		return err
	}
	reportf("applied a ticket: %s", strings.ReplaceAll(strings.TrimSpace(out), "\n", "; "))
	return nil
}

func (r *runner) streamTwoModels(ctx context.Context) error {
	for _, model := range []string{"manual", "headings"} {
		c := r.d.Caller(1)
		var resp deployment.ChatResponse
		err := deployment.Eventually(ctx, func() error {
			var err error
			resp, err = c.Chat(ctx, model, "stand rules for hall 3", answerTokens, nil)
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "model %s", model)
		}
		if !resp.Complete || resp.Tokens != answerTokens {
			return errors.Newf("model %s: got %d of %d tokens, complete %t", model, resp.Tokens, answerTokens, resp.Complete)
		}
		reportf("streamed %d tokens of model %s to the end", resp.Tokens, model)
	}
	return nil
}

// bookTwice sends one idempotency key through two VMs; the booking service must run it once.
func (r *runner) bookTwice(ctx context.Context) error {
	var answers []string
	for _, n := range []int{1, 2} {
		code, body, err := r.d.Caller(n).Post(ctx, "/booking/orders", "order-4711", []byte(`{"service":"forklift"}`))
		if err != nil {
			return err
		}
		if code != 200 {
			return errors.Newf("booking: status %d: %s", code, body)
		}
		answers = append(answers, body)
	}
	if answers[0] != answers[1] {
		return errors.Newf("booking: answers differ: %q and %q", answers[0], answers[1])
	}
	runs, err := deployment.Get(ctx, r.d.Address(deployment.ExampleBookingAddress), "/emulate/runs")
	if err != nil {
		return err
	}
	var n map[string]int
	if err := json.Unmarshal([]byte(runs), &n); err != nil {
		return err
	}
	if n["order-4711"] != 1 {
		return errors.Newf("booking order-4711 ran %d times, expected 1", n["order-4711"])
	}
	reportf("sent one booking twice through two VMs: it ran once and both got the same answer")
	return nil
}

// killLeader kills the leader of the replicated log, applies a ticket and starts the killed VM again.
func (r *runner) killLeader(ctx context.Context) error {
	vm, err := r.d.LogLeader(ctx)
	if err != nil {
		return err
	}
	r.d.Kill(vm)
	ticket, err := r.d.WriteAdapterTicket(2, "freight", 1<<20)
	if err != nil {
		return err
	}
	start := time.Now()
	if _, err := r.d.ApplyTicket(ctx, ticket); err != nil {
		return err
	}
	reportf("killed the log's leader %s; the next ticket was in force %s later", vm, time.Since(start).Round(time.Millisecond))
	return r.d.StartVM(vm)
}

func (r *runner) killEntry(ctx context.Context) error {
	r.d.Kill("entry-1")
	resp, err := r.d.Caller(2).Chat(ctx, "manual", "power orders", answerTokens, nil)
	if err != nil {
		return err
	}
	if !resp.Complete || resp.Tokens != answerTokens {
		return errors.Newf("after entry-1 was killed: got %d of %d tokens, complete %t", resp.Tokens, answerTokens, resp.Complete)
	}
	reportf("killed entry-1; entry-2 went on serving")
	return nil
}

// drainEntry stops an entry process in the middle of a streamed answer, which must still be complete.
func (r *runner) drainEntry(ctx context.Context) error {
	var g errgroup.Group
	onToken := func(n int) {
		if n == 10 {
			g.Go(func() error { return r.d.Stop(ctx, "entry-3") })
		}
	}
	resp, err := r.d.Caller(3).Chat(ctx, "headings", "freight deadlines", longAnswerTokens, onToken)
	if err != nil {
		return err
	}
	if !resp.Complete || resp.Tokens != longAnswerTokens {
		return errors.Newf("drain of entry-3 truncated an answer: got %d of %d tokens, complete %t",
			resp.Tokens, longAnswerTokens, resp.Complete)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	reportf("entry-3 shut down in the middle of an answer of %d tokens, which arrived whole", resp.Tokens)
	return nil
}
