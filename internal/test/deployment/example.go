package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Addresses of emulators in the single-machine example.
const (
	ExampleBookingAddress     = "127.0.0.1:17311"
	ExamplePlatformAddress    = "127.0.0.1:17401"
	exampleWeightStoreAddress = "127.0.0.1:17402"
)

// Numbers of engines, control VMs and entry VMs in the single-machine example.
const (
	EngineCount    = 4
	ControlVMCount = 3
	EntryVMCount   = 3
)

// ExampleCallersAddress returns the address of the callers' listener of entry-N in the example.
func ExampleCallersAddress(n int) string {
	return fmt.Sprintf("127.0.0.1:%d", 17000+n)
}

// ExampleEngineAddress returns the address of engine-N in the example.
func ExampleEngineAddress(n int) string {
	return fmt.Sprintf("127.0.0.1:%d", 17300+n)
}

// ExampleOperatorsAddress returns the address of a VM's operators' listener in the example.
func ExampleOperatorsAddress(vm string) string {
	n := int(vm[len(vm)-1] - '0')
	if strings.HasPrefix(vm, "control") {
		return fmt.Sprintf("127.0.0.1:%d", 17200+n)
	}
	return fmt.Sprintf("127.0.0.1:%d", 17210+n)
}

// Caller returns a Caller of entry-N of the single-machine example.
func (d *Deployment) Caller(n int) Caller {
	return NewCaller(d.Address(ExampleCallersAddress(n)))
}

// LogLeader returns the VM that leads the replicated log, as reported by the first control VM of the single-machine
// example that knows a leader.
func (d *Deployment) LogLeader(ctx context.Context) (string, error) {
	var lastErr error
	for i := 1; i <= ControlVMCount; i++ {
		vm := fmt.Sprintf("control-%d", i)
		s, err := d.State(ctx, vm)
		if err == nil && s.Log.Leader.VM != "" {
			return s.Log.Leader.VM, nil
		}
		lastErr = err
	}
	return "", errors.Wrap(errors.CombineErrors(lastErr, errors.New("no control VM knows a leader")), "leader")
}

// A Replica identifies a control replica; one that lost its disk comes back with a new incarnation.
type Replica struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// A State is the part of the response of /operator/state that scenarios and measurements read.
type State struct {
	Version uint64 `json:"version"`
	Proven  bool   `json:"proven"` // shown to be as new as a majority of control replicas
	Log     struct {
		Self   Replica   `json:"self"`
		Leader Replica   `json:"leader"`
		Voters []Replica `json:"voters"`
		Failed string    `json:"failed"`
	} `json:"log"`
	Objects struct {
		Adapters []struct {
			Name  string `json:"name"`
			Bytes int64  `json:"bytes"`
		} `json:"adapters"`
	} `json:"objects"`
	Places []struct {
		Model   string `json:"model"`
		Backend string `json:"backend-server"`
		Version string `json:"version"`
		Ready   bool   `json:"ready"`
	} `json:"places"`
}

// HasReadyModel reports whether the model is loaded and ready on the engine.
func (s State) HasReadyModel(model, engine string) bool {
	for _, p := range s.Places {
		if p.Model == model && p.Backend == engine && p.Ready {
			return true
		}
	}
	return false
}

// State returns what /operator/state of a VM of the single-machine example reports.
func (d *Deployment) State(ctx context.Context, vm string) (State, error) {
	var s State
	body, err := Get(ctx, d.Address(ExampleOperatorsAddress(vm)), "/operator/state")
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal([]byte(body), &s), vm)
}

// StartEmulators starts the emulators of the single-machine example: the platform, the weight store, the booking service
// and the engines, of which those with odd numbers check fencing tokens.
func (d *Deployment) StartEmulators() error {
	start := func(name, example string, args ...string) error {
		return d.Start(name, append([]string{"emulate", args[0], "--listen", d.Address(example)}, args[1:]...)...)
	}
	err := errors.Join(
		start("platform", ExamplePlatformAddress, "platform"),
		start("weight-store", exampleWeightStoreAddress, "weight-store"),
		start("booking", ExampleBookingAddress, "service"),
	)
	for i := 1; i <= EngineCount; i++ {
		name := fmt.Sprintf("engine-%d", i)
		args := []string{"engine", "--name", name, "--memory-gib", "32", "--weight-store", "http://" + d.Address(exampleWeightStoreAddress)}
		if i%2 == 1 {
			args = append(args, "--checks-fencing")
		}
		err = errors.Join(err, start(name, ExampleEngineAddress(i), args...))
	}
	return err
}

// VMs returns the names of the VMs of the single-machine example, control VMs first.
func VMs() []string {
	var out []string
	for i := 1; i <= ControlVMCount; i++ {
		out = append(out, fmt.Sprintf("control-%d", i))
	}
	for i := 1; i <= EntryVMCount; i++ {
		out = append(out, fmt.Sprintf("entry-%d", i))
	}
	return out
}

// StartVMs starts the VMs of the single-machine example and waits until the entry VMs are ready.
func (d *Deployment) StartVMs(ctx context.Context) error {
	for _, vm := range VMs() {
		if err := d.StartVM(vm); err != nil {
			return err
		}
	}
	for i := 1; i <= EntryVMCount; i++ {
		if err := d.AwaitReady(ctx, fmt.Sprintf("entry-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until /readyz of a VM of the single-machine example answers 200.
func (d *Deployment) AwaitReady(ctx context.Context, vm string) error {
	err := Eventually(ctx, func() error {
		_, err := Get(ctx, d.Address(ExampleOperatorsAddress(vm)), "/readyz")
		return err
	})
	return errors.Wrapf(err, "%s is not ready", vm)
}

// ApplyTicket applies a ticket file, waits up to 20 s until it is in force and returns the command's output.
func (d *Deployment) ApplyTicket(ctx context.Context, file string) (string, error) {
	out, _, err := d.Exec(ctx, "apply", "-s", d.Settings, "--timeout", "20s", file)
	return out, err
}

// WriteAdapterTicket writes a ticket that sets one adapter of the model manual, of size bytes, and returns its path.
func (d *Deployment) WriteAdapterTicket(number int, adapter string, size int64) (string, error) {
	name := filepath.Join(d.Folder, fmt.Sprintf("ticket-%d.yaml", number))
	text := fmt.Sprintf("number: %d\nadapters:\n  - {name: %s, model: manual, bytes: %d}\n", number, adapter, size)
	return name, errors.Wrap(os.WriteFile(name, []byte(text), 0o600), "ticket")
}

// WriteLogs writes the last 12 lines of every process's log.
func (d *Deployment) WriteLogs(w interface{ WriteString(string) (int, error) }) {
	files, err := filepath.Glob(filepath.Join(d.Folder, "*.log"))
	if err != nil {
		return
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".log")
		lines := strings.Split(strings.TrimSpace(d.Log(name)), "\n")
		const tailLines = 12
		_, _ = w.WriteString("--- " + name + "\n" + strings.Join(lines[max(0, len(lines)-tailLines):], "\n") + "\n")
	}
}
