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

// Addresses of the single-machine example that tests talk to.
const (
	ExampleBookingAddress     = "127.0.0.1:17311"
	ExamplePlatformAddress    = "127.0.0.1:17401"
	exampleWeightStoreAddress = "127.0.0.1:17402"
)

// Sizes of the single-machine example.
const (
	EngineCount    = 4
	ControlVMCount = 3
	EntryVMCount   = 3
)

// ExampleCallersAddress returns the example's address of entry N's callers' listener.
func ExampleCallersAddress(n int) string {
	return fmt.Sprintf("127.0.0.1:%d", 17000+n)
}

// ExampleEngineAddress returns the example's address of engine N.
func ExampleEngineAddress(n int) string {
	return fmt.Sprintf("127.0.0.1:%d", 17300+n)
}

// ExampleOperatorsAddress returns the example's address of a VM's operators' listener.
func ExampleOperatorsAddress(vm string) string {
	n := int(vm[len(vm)-1] - '0')
	if strings.HasPrefix(vm, "control") {
		return fmt.Sprintf("127.0.0.1:%d", 17200+n)
	}
	return fmt.Sprintf("127.0.0.1:%d", 17210+n)
}

// Caller returns a caller of entry N of the single-machine example.
func (d *Deployment) Caller(n int) Caller {
	return NewCaller(d.Address(ExampleCallersAddress(n)))
}

// LogLeader returns the VM of the log's leader as a control VM of the single-machine example sees it.
func (d *Deployment) LogLeader(ctx context.Context) (string, error) {
	var last error
	for i := 1; i <= ControlVMCount; i++ {
		vm := fmt.Sprintf("control-%d", i)
		s, err := d.State(ctx, vm)
		if err == nil && s.Log.Leader.VM != "" {
			return s.Log.Leader.VM, nil
		}
		last = err
	}
	return "", errors.Wrap(errors.CombineErrors(last, errors.New("no VM knows a leader")), "leader")
}

// A Replica is a replica in a State.
type Replica struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// A State is the part of a VM's overview that tests look at.
type State struct {
	Version uint64 `json:"version"`
	Proven  bool   `json:"proven"`
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

// HasReadyModel reports whether the engine serves the model.
func (s State) HasReadyModel(model, engine string) bool {
	for _, p := range s.Places {
		if p.Model == model && p.Backend == engine && p.Ready {
			return true
		}
	}
	return false
}

// State returns what a VM of the single-machine example shows to operators.
func (d *Deployment) State(ctx context.Context, vm string) (State, error) {
	var s State
	body, err := Get(ctx, d.Address(ExampleOperatorsAddress(vm)), "/operator/state")
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal([]byte(body), &s), vm)
}

// StartEmulators starts the emulators of the single-machine example.
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

// VMs returns the VMs of the single-machine example.
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

// AwaitReady waits until a VM of the single-machine example is ready.
func (d *Deployment) AwaitReady(ctx context.Context, vm string) error {
	err := Eventually(ctx, func() error {
		_, err := Get(ctx, d.Address(ExampleOperatorsAddress(vm)), "/readyz")
		return err
	})
	return errors.Wrapf(err, "%s is not ready", vm)
}

// ApplyTicket applies a ticket file and waits until it is in force.
func (d *Deployment) ApplyTicket(ctx context.Context, file string) (string, error) {
	out, _, err := d.Exec(ctx, "apply", "-s", d.Settings, "--timeout", "20s", file)
	return out, err
}

// WriteAdapterTicket writes a ticket that sets one adapter of the model manual and returns its file.
func (d *Deployment) WriteAdapterTicket(number int, adapter string, size int64) (string, error) {
	name := filepath.Join(d.Folder, fmt.Sprintf("ticket-%d.yaml", number))
	text := fmt.Sprintf("number: %d\nadapters:\n  - {name: %s, model: manual, bytes: %d}\n", number, adapter, size)
	return name, errors.Wrap(os.WriteFile(name, []byte(text), 0o600), "ticket")
}

// WriteLogs writes the last lines of every process's log.
func (d *Deployment) WriteLogs(w interface{ WriteString(string) (int, error) }) {
	files, err := filepath.Glob(filepath.Join(d.Folder, "*.log"))
	if err != nil {
		return
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".log")
		lines := strings.Split(strings.TrimSpace(d.Log(name)), "\n")
		const last = 12
		_, _ = w.WriteString("--- " + name + "\n" + strings.Join(lines[max(0, len(lines)-last):], "\n") + "\n")
	}
}
