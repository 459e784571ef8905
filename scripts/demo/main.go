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
	wholeRun  = 60 * time.Second
	oneStep   = 20 * time.Second
	tokens    = 20
	longReply = 200
)

// Addresses of the example.
const (
	entry1 = "127.0.0.1:17001"
	entry2 = "127.0.0.1:17002"
	entry3 = "127.0.0.1:17003"
	store  = "127.0.0.1:17311"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), wholeRun)
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
			dumpLogs(d)
		}
		err = errors.CombineErrors(err, d.Close())
	}()
	s := &show{d: d}
	for _, step := range []func(context.Context) error{
		s.startProcesses, s.applyTicket, s.streamTwoModels, s.bookTwice, s.killLeader, s.killEntry, s.drainEntry,
	} {
		stepCtx, cancel := context.WithTimeout(ctx, oneStep)
		err = step(stepCtx)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func dumpLogs(d *deployment.Deployment) {
	for _, n := range processNames() {
		if log := d.Log(n); log != "" {
			fmt.Fprintf(os.Stderr, "--- %s\n%s\n", n, tail(log, 12))
		}
	}
}

func tail(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func processNames() []string {
	names := []string{"platform", "weight-store", "booking"}
	for i := 1; i <= 4; i++ {
		names = append(names, fmt.Sprintf("engine-%d", i))
	}
	for i := 1; i <= 3; i++ {
		names = append(names, fmt.Sprintf("control-%d", i), fmt.Sprintf("entry-%d", i))
	}
	return names
}

// A show runs the steps of the demo.
type show struct {
	d *deployment.Deployment
}

func sayf(format string, args ...any) {
	fmt.Printf("demo: "+format+"\n", args...)
}

func (s *show) startProcesses(ctx context.Context) error {
	if err := s.startEmulators(); err != nil {
		return err
	}
	for i := 1; i <= 3; i++ {
		for _, vm := range []string{fmt.Sprintf("control-%d", i), fmt.Sprintf("entry-%d", i)} {
			if err := s.d.Serve(vm); err != nil {
				return err
			}
		}
	}
	for i := 1; i <= 3; i++ {
		addr := s.d.Address(fmt.Sprintf("127.0.0.1:%d", 17210+i))
		err := deployment.Eventually(ctx, func() error {
			_, err := deployment.Get(ctx, addr, "/readyz")
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "entry-%d is not ready", i)
		}
	}
	sayf("started 3 control and 3 entry processes in three data centres, 4 engines, 1 service")
	return nil
}

func (s *show) startEmulators() error {
	e := func(name string, example int, args ...string) error {
		addr := s.d.Address(fmt.Sprintf("127.0.0.1:%d", example))
		return s.d.Start(name, append([]string{"emulate", args[0], "--listen", addr}, args[1:]...)...)
	}
	err := errors.Join(
		e("platform", 17401, "platform"),
		e("weight-store", 17402, "weight-store"),
		e("booking", 17311, "service"),
	)
	for i := 1; i <= 4; i++ {
		args := []string{"engine", "--name", fmt.Sprintf("engine-%d", i), "--memory-gib", "32",
			"--weight-store", "http://" + s.d.Address("127.0.0.1:17402")}
		if i%2 == 1 {
			args = append(args, "--checks-fencing")
		}
		err = errors.Join(err, e(fmt.Sprintf("engine-%d", i), 17300+i, args...))
	}
	return err
}

func (s *show) applyTicket(ctx context.Context) error {
	out, _, err := s.d.Exec(ctx, "apply", "-s", s.d.Settings, s.d.Ticket)
	if err != nil {
		return err
	}
	sayf("applied a ticket: %s", strings.ReplaceAll(strings.TrimSpace(out), "\n", "; "))
	return nil
}

func (s *show) streamTwoModels(ctx context.Context) error {
	for _, model := range []string{"manual", "headings"} {
		c := deployment.NewCaller(s.d.Address(entry1))
		var a deployment.Answer
		err := deployment.Eventually(ctx, func() error {
			var err error
			a, err = c.Chat(ctx, model, "stand rules for hall 3", tokens, nil)
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "model %s", model)
		}
		if !a.Complete || a.Tokens != tokens {
			return errors.Newf("model %s: got %d of %d tokens, complete %t", model, a.Tokens, tokens, a.Complete)
		}
		sayf("streamed %d tokens of model %s to the end", a.Tokens, model)
	}
	return nil
}

func (s *show) bookTwice(ctx context.Context) error {
	var bodies []string
	for _, entry := range []string{entry1, entry2} {
		c := deployment.NewCaller(s.d.Address(entry))
		code, body, err := c.Post(ctx, "/booking/orders", "order-4711", []byte(`{"service":"forklift"}`))
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
	runs, err := deployment.Get(ctx, s.d.Address(store), "/emulate/runs")
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
	sayf("sent one booking twice through two VMs: it ran once and both got the same answer")
	return nil
}

// leader returns the VM of the log's leader.
func (s *show) leader(ctx context.Context) (string, error) {
	out, _, err := s.d.Exec(ctx, "state", "-s", s.d.Settings, "--json")
	if err != nil {
		return "", err
	}
	var state struct {
		Log struct {
			Leader struct {
				VM string `json:"vm"`
			} `json:"leader"`
		} `json:"log"`
	}
	if err := json.Unmarshal([]byte(out), &state); err != nil {
		return "", err
	}
	if state.Log.Leader.VM == "" {
		return "", errors.New("no leader known")
	}
	return state.Log.Leader.VM, nil
}

func (s *show) killLeader(ctx context.Context) error {
	vm, err := s.leader(ctx)
	if err != nil {
		return err
	}
	s.d.Kill(vm)
	ticket, err := s.writeTicket(2)
	if err != nil {
		return err
	}
	start := time.Now()
	if _, _, err := s.d.Exec(ctx, "apply", "-s", s.d.Settings, "--timeout", "15s", ticket); err != nil {
		return err
	}
	sayf("killed the log's leader %s; the next ticket was in force %s later", vm, time.Since(start).Round(time.Millisecond))
	return s.d.Serve(vm)
}

func (s *show) writeTicket(number int) (string, error) {
	name := fmt.Sprintf("%s/ticket-%d.yaml", s.d.Folder, number)
	text := fmt.Sprintf("number: %d\nadapters:\n  - {name: freight-%d, model: manual, bytes: 1048576}\n", number, number)
	return name, os.WriteFile(name, []byte(text), 0o600)
}

func (s *show) killEntry(ctx context.Context) error {
	s.d.Kill("entry-1")
	a, err := deployment.NewCaller(s.d.Address(entry2)).Chat(ctx, "manual", "power orders", tokens, nil)
	if err != nil {
		return err
	}
	if !a.Complete || a.Tokens != tokens {
		return errors.Newf("after the kill: got %d of %d tokens, complete %t", a.Tokens, tokens, a.Complete)
	}
	sayf("killed entry-1; entry-2 went on serving")
	return nil
}

// drainEntry stops an entry process in the middle of an answer, which must still arrive whole.
func (s *show) drainEntry(ctx context.Context) error {
	var g errgroup.Group
	onToken := func(n int) {
		if n == 10 {
			g.Go(func() error { return s.d.Stop(ctx, "entry-3") })
		}
	}
	a, err := deployment.NewCaller(s.d.Address(entry3)).Chat(ctx, "headings", "freight deadlines", longReply, onToken)
	if err != nil {
		return err
	}
	if !a.Complete || a.Tokens != longReply {
		return errors.Newf("drain cut an answer off: %d of %d tokens, complete %t", a.Tokens, longReply, a.Complete)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	sayf("entry-3 shut down in the middle of an answer of %d tokens, which arrived whole", a.Tokens)
	return nil
}
