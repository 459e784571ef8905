// Command demo starts the single-machine example on loopback and shows the system at work.
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
	s := &demo{d: d}
	for _, step := range []func(context.Context) error{
		s.startProcesses, s.applyTicket, s.streamTwoModels, s.bookTwice, s.killLeader, s.killEntry, s.drainEntry,
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

// A demo runs the steps of the demo.
type demo struct {
	d *deployment.Deployment
}

func reportf(format string, args ...any) {
	fmt.Printf("demo: "+format+"\n", args...)
}

func (s *demo) startProcesses(ctx context.Context) error {
	if err := s.d.StartEmulators(); err != nil {
		return err
	}
	if err := s.d.StartVMs(ctx); err != nil {
		return err
	}
	reportf("started 3 control and 3 entry processes in three data centres, 4 engines, 1 service")
	return nil
}

func (s *demo) applyTicket(ctx context.Context) error {
	out, err := s.d.ApplyTicket(ctx, s.d.Ticket)
	if err != nil {
		return err
	}
	reportf("applied a ticket: %s", strings.ReplaceAll(strings.TrimSpace(out), "\n", "; "))
	return nil
}

func (s *demo) streamTwoModels(ctx context.Context) error {
	for _, model := range []string{"manual", "headings"} {
		c := s.d.Caller(1)
		var a deployment.ChatResponse
		err := deployment.Eventually(ctx, func() error {
			var err error
			a, err = c.Chat(ctx, model, "stand rules for hall 3", answerTokens, nil)
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "model %s", model)
		}
		if !a.Complete || a.Tokens != answerTokens {
			return errors.Newf("model %s: got %d of %d tokens, complete %t", model, a.Tokens, answerTokens, a.Complete)
		}
		reportf("streamed %d tokens of model %s to the end", a.Tokens, model)
	}
	return nil
}

func (s *demo) bookTwice(ctx context.Context) error {
	var bodies []string
	for _, n := range []int{1, 2} {
		code, body, err := s.d.Caller(n).Post(ctx, "/booking/orders", "order-4711", []byte(`{"service":"forklift"}`))
		if err != nil {
			return err
		}
		if code != 200 {
			return errors.Newf("booking: status %d: %s", code, body)
		}
		bodies = append(bodies, body)
	}
	if bodies[0] != bodies[1] {
		return errors.Newf("booking: answers differ: %q and %q", bodies[0], bodies[1])
	}
	runs, err := deployment.Get(ctx, s.d.Address(deployment.ExampleBookingAddress), "/emulate/runs")
	if err != nil {
		return err
	}
	var n map[string]int
	if err := json.Unmarshal([]byte(runs), &n); err != nil {
		return err
	}
	if n["order-4711"] != 1 {
		return errors.Newf("booking ran %d times", n["order-4711"])
	}
	reportf("sent one booking twice through two VMs: it ran once and both got the same answer")
	return nil
}

func (s *demo) killLeader(ctx context.Context) error {
	vm, err := s.d.LogLeader(ctx)
	if err != nil {
		return err
	}
	s.d.Kill(vm)
	ticket, err := s.d.WriteAdapterTicket(2, "freight", 1<<20)
	if err != nil {
		return err
	}
	start := time.Now()
	if _, err := s.d.ApplyTicket(ctx, ticket); err != nil {
		return err
	}
	reportf("killed the log's leader %s; the next ticket was in force %s later", vm, time.Since(start).Round(time.Millisecond))
	return s.d.StartVM(vm)
}

func (s *demo) killEntry(ctx context.Context) error {
	s.d.Kill("entry-1")
	a, err := s.d.Caller(2).Chat(ctx, "manual", "power orders", answerTokens, nil)
	if err != nil {
		return err
	}
	if !a.Complete || a.Tokens != answerTokens {
		return errors.Newf("after the kill: got %d of %d tokens, complete %t", a.Tokens, answerTokens, a.Complete)
	}
	reportf("killed entry-1; entry-2 went on serving")
	return nil
}

// drainEntry stops an entry process in the middle of an answer, which must still arrive whole.
func (s *demo) drainEntry(ctx context.Context) error {
	var g errgroup.Group
	onToken := func(n int) {
		if n == 10 {
			g.Go(func() error { return s.d.Stop(ctx, "entry-3") })
		}
	}
	a, err := s.d.Caller(3).Chat(ctx, "headings", "freight deadlines", longAnswerTokens, onToken)
	if err != nil {
		return err
	}
	if !a.Complete || a.Tokens != longAnswerTokens {
		return errors.Newf("drain cut an answer off: %d of %d tokens, complete %t", a.Tokens, longAnswerTokens, a.Complete)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	reportf("entry-3 shut down in the middle of an answer of %d tokens, which arrived whole", a.Tokens)
	return nil
}
