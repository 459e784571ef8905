package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/yaml"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitFailed      = 1 // refused or failed; the reason is on standard error
	ExitUsage       = 2 // invalid arguments, settings or ticket file
	ExitNotInForce  = 3 // the ticket is accepted but not in force on every reachable VM before the timeout
	ExitUnreachable = 4 // no VM answered
)

const help = `geraniumdeck serves many models from fewer accelerators.

Exit codes: 0 success, 1 refused or failed, 2 wrong arguments or files,
3 accepted but not in force in time, 4 no VM reachable.`

// errHelpShown prevents a subcommand from running after its help was shown: kingpin continues once Terminate has returned.
var errHelpShown = errors.New("stopped")

// An exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

// Error implements error.Error.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the error without its exit code.
func (e *exitError) Unwrap() error {
	return e.err
}

func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code, err}
}

// A config holds the output streams and flags that the subcommands share. Each subcommand is a method in its own file.
type config struct {
	stdout io.Writer
	stderr io.Writer

	settingsFile string
	address      string
	json         bool
	timeout      time.Duration
	unresponsive map[string]bool // addresses that did not answer within their timeout
}

// Run executes the command line and returns the exit code of the process.
func Run(args []string, stdout, stderr io.Writer) int {
	c := &config{stdout: stdout, stderr: stderr}
	app := kingpin.New("geraniumdeck", help)
	terminateCode := -1
	app.Terminate(func(code int) { terminateCode = code })
	app.Action(func(*kingpin.ParseContext) error {
		if terminateCode >= 0 {
			return errHelpShown
		}
		return nil
	})
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	for _, add := range []func(*kingpin.Application){
		c.addApply, c.addTicket, c.addState, c.addBurn, c.addReplica, c.addCheck, c.addServe, c.addNode, c.addEmulate, c.addVersion,
	} {
		add(app)
	}
	_, err := app.Parse(args)
	if terminateCode >= 0 {
		return terminateCode
	}
	return c.reportError(err)
}

// reportError prints an error to standard error and returns its exit code, or ExitOK for nil.
func (c *config) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var e *exitError
	if errors.As(err, &e) {
		fmt.Fprintf(c.stderr, "geraniumdeck: %v\n", e.err)
		return e.code
	}
	fmt.Fprintf(c.stderr, "geraniumdeck: %v (see geraniumdeck --help)\n", err)
	return ExitUsage
}

// addConnectionFlags adds the flags that select the VMs to call.
func (c *config) addConnectionFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("settings", "Settings file; its VMs are tried in order.").Short('s').StringVar(&c.settingsFile)
	cmd.Flag("address", "Address of one VM's operators' listener as IP:port.").Short('a').StringVar(&c.address)
	cmd.Flag("timeout", "How long to wait for an answer.").Default("10s").DurationVar(&c.timeout)
}

func (c *config) addJSONFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("json", "Write JSON.").BoolVar(&c.json)
}

// clients returns a client for each VM that the flags select.
func (c *config) clients() ([]operator.Client, error) {
	if c.address != "" {
		return []operator.Client{{Address: c.address}}, nil
	}
	if c.settingsFile == "" {
		return nil, withExitCode(ExitUsage, errors.New("--settings or --address is required"))
	}
	s, err := settings.Read(c.settingsFile)
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	var out []operator.Client
	for _, v := range s.VMs {
		out = append(out, operator.Client{Address: v.Listen.Operators})
	}
	return out, nil
}

// maxTimeoutDivisor bounds the number by which the timeout is divided, so that each VM of a large deployment still has time
// to answer.
const maxTimeoutDivisor = 8

// perVMTimeout returns the timeout of a call to one of the VMs, so that an unresponsive VM leaves most of the time to others.
func (c *config) perVMTimeout(addresses int) time.Duration {
	if addresses == 1 {
		return c.timeout
	}
	return c.timeout / time.Duration(min(addresses+1, maxTimeoutDivisor))
}

// callAny calls f for one VM after the other until one succeeds. It prefers to return an error from a VM's response to the
// error of a VM that could not be reached. VMs that did not answer before are called last.
func (c *config) callAny(ctx context.Context, f func(context.Context, operator.Client) error) error {
	clients, err := c.clients()
	if err != nil {
		return err
	}
	code := ExitUnreachable
	var reported error
	for _, cl := range c.unresponsiveLast(clients) {
		err := c.callOne(ctx, cl, c.perVMTimeout(len(clients)), f)
		if err == nil {
			return nil
		}
		var answer *operator.StatusError
		if errors.As(err, &answer) {
			code, reported = ExitFailed, err
		} else if code == ExitUnreachable {
			reported = err
		}
	}
	return withExitCode(code, reported)
}

// callOne calls f for one VM with a timeout and records whether the VM is unresponsive.
func (c *config) callOne(
	ctx context.Context, cl operator.Client, limit time.Duration, f func(context.Context, operator.Client) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := f(ctx, cl)
	if err == nil {
		delete(c.unresponsive, cl.Address)
	} else if ctx.Err() != nil {
		if c.unresponsive == nil {
			c.unresponsive = make(map[string]bool)
		}
		c.unresponsive[cl.Address] = true
	}
	return err
}

// unresponsiveLast returns the clients with those of unresponsive VMs moved to the end.
func (c *config) unresponsiveLast(clients []operator.Client) []operator.Client {
	var first, last []operator.Client
	for _, cl := range clients {
		if c.unresponsive[cl.Address] {
			last = append(last, cl)
		} else {
			first = append(first, cl)
		}
	}
	return append(first, last...)
}
