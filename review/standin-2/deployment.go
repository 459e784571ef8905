package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout  = 20 * time.Second
	settleTime    = 5 * time.Second // from the first call that is served to the case, more than contactMs
	settingsEnv   = "GERANIUMDECK_SETTINGS"
	graceSeconds  = 8
	operatorLimit = 3 * time.Second // the operator waits longer than a second for a large manifest
)

// deploymentOptions are the sizes of a deployment and its routing configuration.
type deploymentOptions struct {
	controls, entries int
	zones             []string
	engines           []engineOptions
	config            map[string]any
	delay             time.Duration // one way to a control VM
}

// A deployment is the processes under test with the stand-ins around them.
type deployment struct {
	options  deploymentOptions
	record   *record
	folder   string
	prefix   string // of the loopback addresses
	ports    ports
	controls []*process
	entries  []*process
	engines  []*engine
	platform *platform
	paths    []*delayProxy
	group    sync.WaitGroup
}

// memoryMegabytes are the limits of a process by its role, as on the users' installations.
var memoryMegabytes = map[string]int{"entry": 284, "control": 280}

// ports are the same on all addresses.
type ports struct{ peer, callers, ready, operators, engine, platform int }

// Third numbers of the loopback addresses.
const (
	processNet = 1
	engineNet  = 2
	ownNet     = 3
	pathNet    = 4 // under which other VMs reach the control VMs
)

func newDeployment(o deploymentOptions, rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, record: rec, folder: folder, ports: ports{7380, 8149, 8141, 8144, 8080, 8142}}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d", 30+rand.IntN(200))
		if d.free() {
			return d, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// free reports whether the ports are free on the addresses.
func (d *deployment) free() bool {
	p := d.ports
	for third := processNet; third <= pathNet; third++ {
		for last := 1; last <= 16; last++ {
			for _, port := range []int{p.peer, p.peer + 1, p.callers, p.ready, p.operators, p.engine, p.platform} {
				l, err := listen(address(d.ip(third, last), port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func listen(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

func (d *deployment) ip(third, last int) string {
	return fmt.Sprintf("%s.%d.%d", d.prefix, third, last)
}

func address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}

func (d *deployment) zone(i int) string {
	return d.options.zones[i%len(d.options.zones)]
}

// startAll starts the stand-ins and all processes, sets the first configuration and waits until calls can be served.
func (d *deployment) startAll(ctx context.Context) error {
	for i, o := range d.options.engines {
		e, err := newEngine(o, address(d.ip(engineNet, 1+i), d.ports.engine), d.zone(i), fmt.Sprintf("i-%02d", i), d.record)
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	var err error
	if d.platform, err = newPlatform(address(d.ip(ownNet, 1), d.ports.platform), d.engines); err != nil {
		return err
	}
	for i := range d.options.controls {
		path, err := newDelayProxy(address(d.ip(pathNet, 1+i), d.ports.peer), address(d.ip(processNet, 1+i), d.ports.peer), d.options.delay)
		if err != nil {
			return err
		}
		d.paths = append(d.paths, path)
		d.controls = append(d.controls, &process{deployment: d, role: "control", index: i})
	}
	for i := range d.options.entries {
		d.entries = append(d.entries, &process{deployment: d, role: "entry", index: d.options.controls + i})
	}
	for _, p := range d.processes() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.putUntilAcknowledged(ctx, d.options.config); err != nil {
		return err
	}
	for _, p := range d.entries {
		for !d.ready(ctx, p) {
			if !sleep(ctx, 100*time.Millisecond) {
				return errors.New("an entry VM did not become ready")
			}
		}
	}
	sleep(ctx, settleTime)
	return nil
}

func (d *deployment) processes() []*process {
	return append(append([]*process{}, d.controls...), d.entries...)
}

// putUntilAcknowledged sends a manifest to one control VM after the other until one acknowledges it.
func (d *deployment) putUntilAcknowledged(ctx context.Context, manifest map[string]any) error {
	for i := 0; d.put(ctx, i%len(d.controls), manifest) != http.StatusOK; i++ {
		if !sleep(ctx, 100*time.Millisecond) {
			return errors.New("no control VM acknowledged the manifest")
		}
	}
	return nil
}

// put sends a manifest to a control VM and returns the status, 0 without an answer.
func (d *deployment) put(ctx context.Context, control int, manifest map[string]any) int {
	body, err := json.Marshal(manifest)
	if err != nil {
		panic(err) // plain values can always be marshalled
	}
	target := "http://" + address(d.ip(processNet, 1+control), d.ports.operators) + "/geraniumdeck/config"
	status := simpleRequest(ctx, http.MethodPut, target, string(body))
	d.record.addf("manifest %v sent to control %d: %d", manifest["version"], control, status)
	return status
}

// ready asks an entry VM, as the load balancer does, whether it takes channels.
func (d *deployment) ready(ctx context.Context, p *process) bool {
	target := "http://" + address(d.ip(processNet, 1+p.index), d.ports.ready) + "/geraniumdeck/readiness"
	return simpleRequest(ctx, http.MethodGet, target, "") == http.StatusOK
}

// simpleRequest sends a request on a connection of its own and returns the status, 0 without an answer.
func simpleRequest(ctx context.Context, method, target, body string) int {
	ctx, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return 0
	}
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	return resp.StatusCode
}

// settings returns the settings file of a process, as the template of the deploy file gives it.
func (d *deployment) settings(p *process, firstStart bool) string {
	var seeds []string
	for i := range d.options.controls {
		seeds = append(seeds, fmt.Sprintf("%q", address(d.ip(pathNet, 1+i), d.ports.operators)))
	}
	var regions []string
	for _, z := range d.options.zones {
		regions = append(regions, fmt.Sprintf("%q: \"here\"", z))
	}
	ip := d.ip(processNet, 1+p.index)
	own, peers, callers, ready, operators, folder := ip, "", "", "", "", ""
	if p.role == "entry" {
		callers, ready = address(ip, d.ports.callers), address(ip, d.ports.ready)
	} else {
		own, peers = d.ip(pathNet, 1+p.index), address(ip, d.ports.peer)
		operators, folder = address(ip, d.ports.operators), filepath.Join(d.folder, fmt.Sprintf("disk-%d", p.index))
	}
	return fmt.Sprintf(`vm: "%s-%d"
data-centre: %q
region: "here"
regions: {%s}
address: %q
peer-ports: [%d,%d]
seeds: [%s]
first-start: %t
data-folder: %q
listen:
  peers: %q
  callers: %q
  ready: %q
  operators: %q
memory-megabytes: %d
platform:
  address: %q
losses-to-bear: 1
bounds:
  grace-seconds: %d
  lease-milliseconds: 3000
  engines-check-fencing: true
  retry-share: 0.2
  retry-slack: 56
  retry-window-seconds: 10
`, p.role, p.index, d.zone(p.index), strings.Join(regions, ", "), own, d.ports.peer, d.ports.peer, strings.Join(seeds, ", "),
		firstStart, folder, peers, callers, ready, operators, memoryMegabytes[p.role], d.platform.addr, graceSeconds)
}

func (d *deployment) close() {
	for _, p := range d.processes() {
		p.kill()
	}
	for _, e := range d.engines {
		e.close()
	}
	for _, path := range d.paths {
		path.close()
	}
	if d.platform != nil {
		d.platform.close()
	}
	d.group.Wait()
	_ = os.RemoveAll(d.folder) // a leftover in the temporary folder does no harm
}

// A process is one process of the program under test.
type process struct {
	deployment *deployment
	role       string
	index      int

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// start starts the process with the command of the deploy file.
func (p *process) start(firstStart bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.deployment
	name := filepath.Join(d.folder, fmt.Sprintf("%s-%d", p.role, p.index))
	if err := os.WriteFile(name+".yaml", []byte(d.settings(p, firstStart)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.CommandContext(context.Background(), "target/geraniumdeck", "node", p.role)
	// The platform's machines show one core.
	cmd.Env = []string{"GOMAXPROCS=1", settingsEnv + "=" + name + ".yaml", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.started = cmd, exited, time.Now()
	d.record.addf("%s-%d started", p.role, p.index)
	d.group.Go(func() {
		_ = cmd.Wait() // cases end processes
		close(exited)
	})
	return nil
}

// signal sends a signal to this process, by its ID.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		p.deployment.record.addf("%s-%d gets signal %s", p.role, p.index, sig)
		_ = p.cmd.Process.Signal(sig) // it may have exited meanwhile
	}
}

// kill ends the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// sleep waits for d and reports whether ctx is still running.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
