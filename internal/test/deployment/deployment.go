package deployment

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// A Deployment is a set of processes on loopback with a folder of their own; Close ends all of them.
type Deployment struct {
	Binary   string // the geraniumdeck binary
	Folder   string // holds settings, tickets, logs and data
	Settings string // the settings file in Folder
	Ticket   string // the ticket file in Folder

	mu          sync.Mutex
	procs       map[string]*process
	addresses   map[string]string // address in the example -> address in use
	dataFolders int               // data folders assigned so far
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // result of cmd.Wait, valid once done is closed
}

var (
	addressPattern    = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)
	dataFolderPattern = regexp.MustCompile(`data-folder: .*`)
)

// New prepares a deployment on loopback from the settings and the ticket of an example. The operating system chooses the
// ports; each VM whose settings name a data folder gets one in the deployment's folder.
func New(binary, settings, ticket string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "geraniumdeck-")
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	d := &Deployment{Binary: binary, Folder: dir, procs: make(map[string]*process), addresses: make(map[string]string)}
	if d.Settings, err = d.copyExample(settings); err != nil {
		return nil, err
	}
	if d.Ticket, err = d.copyExample(ticket); err != nil {
		return nil, err
	}
	return d, nil
}

// Address returns the loopback address in use in place of an address of the example.
func (d *Deployment) Address(example string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address(example)
}

// Close kills all processes and removes the folder.
func (d *Deployment) Close() error {
	d.mu.Lock()
	names := make([]string, 0, len(d.procs))
	for n := range d.procs {
		names = append(names, n)
	}
	d.mu.Unlock()
	for _, n := range names {
		d.Kill(n)
	}
	return os.RemoveAll(d.Folder)
}

// Exec runs the binary until it exits and returns its standard output and exit code; the code is -1 if it did not run.
func (d *Deployment) Exec(ctx context.Context, args ...string) (string, int, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, d.Binary, args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		return "", -1, errors.Wrap(err, strings.Join(args, " "))
	}
	if err != nil {
		return stdout.String(), exitErr.ExitCode(), errors.Newf("%s: %s", strings.Join(args, " "), strings.TrimSpace(stderr.String()))
	}
	return stdout.String(), 0, nil
}

// Kill sends SIGKILL to a process and waits until it has ended; it does nothing if no such process runs.
func (d *Deployment) Kill(name string) {
	if p := d.removeProcess(name); p != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// Log returns the output of a process so far, or "" if it can't be read.
func (d *Deployment) Log(name string) string {
	data, err := os.ReadFile(filepath.Join(d.Folder, name+".log"))
	if err != nil {
		return ""
	}
	return string(data)
}

// StartVM starts the process of a VM of the settings.
func (d *Deployment) StartVM(vm string) error {
	return d.Start(vm, "serve", "--settings", d.Settings, "--vm", vm)
}

// Signal sends a signal to a process.
func (d *Deployment) Signal(name string, sig syscall.Signal) error {
	d.mu.Lock()
	p := d.procs[name]
	d.mu.Unlock()
	if p == nil {
		return errors.Newf("signal: no process %q", name)
	}
	return errors.Wrap(p.cmd.Process.Signal(sig), name)
}

// Start starts a process of the binary under a name; its output is appended to NAME.log in the folder.
func (d *Deployment) Start(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(d.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, name)
	}
	defer log.Close()
	cmd := exec.CommandContext(context.Background(), d.Binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, name)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	wait := sync.WaitGroup{}
	wait.Go(func() {
		p.err = cmd.Wait()
		close(p.done)
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.procs[name] = p
	return nil
}

// Stop sends SIGTERM to a process, which makes it drain, and waits until it has ended; if ctx is done first, it kills the
// process and returns an error.
func (d *Deployment) Stop(ctx context.Context, name string) error {
	if err := d.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	p := d.removeProcess(name)
	select {
	case <-p.done:
		return errors.Wrap(p.err, name)
	case <-ctx.Done():
		_ = p.cmd.Process.Kill()
		<-p.done
		return errors.Wrapf(ctx.Err(), "%s did not drain", name)
	}
}

func (d *Deployment) removeProcess(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.procs[name]
	delete(d.procs, name)
	return p
}

// copyExample copies an example file into the folder with its addresses and data folders replaced, and returns its path.
func (d *Deployment) copyExample(name string) (string, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrap(err, "deployment")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	text := addressPattern.ReplaceAllStringFunc(string(data), d.address)
	text = dataFolderPattern.ReplaceAllStringFunc(text, func(string) string {
		d.dataFolders++
		return fmt.Sprintf("data-folder: %s/data/%d", d.Folder, d.dataFolders)
	})
	out := filepath.Join(d.Folder, filepath.Base(name))
	return out, errors.Wrap(os.WriteFile(out, []byte(text), 0o600), "deployment")
}

func (d *Deployment) address(example string) string {
	if a, ok := d.addresses[example]; ok {
		return a
	}
	a := freeAddress()
	// The system may choose a port again as long as the process it was meant for does not listen yet.
	for slices.Contains(slices.Collect(maps.Values(d.addresses)), a) {
		a = freeAddress()
	}
	d.addresses[example] = a
	return a
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() string {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("listen on a free loopback port: %v", err))
	}
	defer l.Close()
	return l.Addr().String()
}

// Eventually calls f every 50 ms until it returns nil; if ctx is done first, it returns the last error of f.
func Eventually(ctx context.Context, f func() error) error {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-t.C:
		}
	}
}
