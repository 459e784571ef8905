package main

import (
	"bytes"
	"cmp"
	"context"
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
	controls = 3
	entries  = 3

	// contactTime is contactMs of the site.
	contactTime = 4 * time.Second

	// Offsets of the ports from the first one of a deployment.
	peerOffset     = 0 // and the one after it
	callerOffset   = 4
	readyOffset    = 5
	operatorOffset = 6
	engineOffset   = 7
	platformOffset = 8
	portCount      = 9
)

var zones = []string{"reykjavik-a", "frankfurt-a", "stockholm-a"}

// A deployment is the processes of the system with what surrounds them.
type deployment struct {
	binary   string
	folder   string
	rec      *record
	network  string // first three numbers of the addresses
	port     int    // first one
	platform *platform
	group    sync.WaitGroup

	mu        sync.Mutex
	processes []*process
	engines   []*engine
}

// A process is a process of the system.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

func newDeployment(binary string, rec *record) (*deployment, error) {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{binary: binary, folder: folder, rec: rec}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		d.port = 18000 + rand.IntN(12000)
		if !d.isFree() {
			continue
		}
		d.platform, err = newPlatform(d.address(platformHost, platformOffset))
		return d, err
	}
	return nil, errors.New("no free ports")
}

// Last numbers of the addresses: that of the first control VM, entry VM and engine, and that of the platform.
const (
	controlHost  = 10
	entryHost    = 30
	engineHost   = 50
	platformHost = 100

	maxHosts = 6 // of each kind
)

func (d *deployment) ip(host int) string {
	return fmt.Sprintf("%s.%d", d.network, host)
}

func (d *deployment) address(host, offset int) string {
	return fmt.Sprintf("%s:%d", d.ip(host), d.port+offset)
}

// isFree reports whether nothing listens at the addresses.
func (d *deployment) isFree() bool {
	hosts := []int{platformHost}
	for i := range maxHosts {
		hosts = append(hosts, controlHost+i, entryHost+i, engineHost+i)
	}
	for _, host := range hosts {
		for offset := range portCount {
			l, err := net.Listen("tcp", d.address(host, offset)) //nolint:noctx // ends at once
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func controlName(i int) string { return fmt.Sprintf("core-%s-1", zones[i%len(zones)]) }

// settings returns the settings file of a process, as deploy/node.yaml.tmpl gives it for a small site.
func (d *deployment) settings(name, zone string, host int, control, firstStart bool) string {
	seeds := ""
	for i := range controls {
		seeds += fmt.Sprintf("%q,", d.address(controlHost+i, operatorOffset))
	}
	data, callers, ready, operators := "", d.address(host, callerOffset), d.address(host, readyOffset), ""
	if control {
		data, callers, ready, operators = filepath.Join(d.folder, name), "", "", d.address(host, operatorOffset)
	}
	return fmt.Sprintf(`vm: %q
data-centre: %q
region: %q
regions: {"reykjavik-a":"reykjavik","frankfurt-a":"frankfurt","stockholm-a":"stockholm"}
address: %q
peer-ports: [%d,%d]
seeds: [%s]
first-start: %t
data-folder: %q
listen:
  callers: %q
  ready: %q
  operators: %q
memory-megabytes: 284
max-descriptors: 4100
platform:
  address: %q
losses-to-bear: 1
bounds:
  grace-seconds: 8
  lease-milliseconds: 3000
  engines-check-fencing: true
  retry-share: 0.2
  retry-slack: 56
  retry-window-seconds: 10
  revocation-milliseconds: 0
  allowance-window-seconds: 0
  allowance-overshoot: 0
  allowance-slack: 0
  hedge-share: 0
  hedge-window-seconds: 10
`, name, zone, zone[:len(zone)-2], d.ip(host), d.port+peerOffset, d.port+peerOffset+1, seeds, firstStart, data, callers, ready, operators,
		d.address(platformHost, platformOffset))
}

// startControl starts a control process on the machine with the number.
func (d *deployment) startControl(i int, firstStart bool) (*process, error) {
	return d.start("control", controlName(i), zones[i%len(zones)], controlHost+i, firstStart)
}

// startEntry starts an entry process on the machine with the number.
func (d *deployment) startEntry(i int, firstStart bool) (*process, error) {
	return d.start("entry", fmt.Sprintf("front-%s-1", zones[i%len(zones)]), zones[i%len(zones)], entryHost+i, firstStart)
}

func (d *deployment) start(role, name, zone string, host int, firstStart bool) (*process, error) {
	file := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(d.settings(name, zone, host, role == "control", firstStart)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.CommandContext(context.Background(), d.binary, "node", role, "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	d.group.Go(func() {
		_ = cmd.Wait() // processes are killed
		close(p.exited)
	})
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	d.rec.printf("start of %s (%s), process %d, first start %t", name, role, cmd.Process.Pid, firstStart)
	return p, nil
}

// kill ends a process at once and waits for its end.
func (d *deployment) kill(p *process) {
	d.rec.printf("SIGKILL to %s", p.name)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// startAll starts all control and entry processes for the first time.
func (d *deployment) startAll() error {
	for i := range controls {
		if _, err := d.startControl(i, true); err != nil {
			return err
		}
	}
	for i := range entries {
		if _, err := d.startEntry(i, true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.mu.Lock()
	processes, engines := d.processes, d.engines
	d.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	for _, e := range engines {
		e.stop()
	}
	_ = d.platform.server.Close()
	d.platform.group.Wait()
	d.group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs in", d.folder)
	}
}

// ackTimeout is the time after which the operator turns to another node.
const ackTimeout = time.Second

// putManifest sends the manifest to the control VMs in turn until one acknowledges it or ctx ends.
func (d *deployment) putManifest(ctx context.Context, manifest string) error {
	for n := 0; ctx.Err() == nil; n++ {
		to := d.address(controlHost+n%controls, operatorOffset)
		status, text := d.putOnce(ctx, to, manifest)
		d.rec.printf("manifest sent to %s: %s", to, text)
		if status == http.StatusOK {
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("the manifest was refused: %s", text)
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return errors.New("the manifest was not acknowledged")
}

func (d *deployment) putOnce(ctx context.Context, to, manifest string) (status int, text string) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+to+"/geraniumdeck/config", bytes.NewReader([]byte(manifest)))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body) // only for the record
	return resp.StatusCode, fmt.Sprintf("%d %s", resp.StatusCode, body)
}

// awaitReady waits until each entry VM says that it is ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for i := range entries {
		for !d.isReady(ctx, i) {
			if !sleep(ctx, 200*time.Millisecond) {
				return fmt.Errorf("entry VM %d is not ready", i)
			}
		}
	}
	d.rec.printf("all entry VMs are ready")
	return nil
}

func (d *deployment) isReady(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + d.address(entryHost+i, readyOffset) + "/geraniumdeck/readiness"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// An engine is a backend server that is started again after each crash.
type engine struct {
	d        *deployment
	service  string
	number   int // of the machine
	work     time.Duration
	deadly   string
	versions []string                        // of the software at its starts, the last one for all further starts; nil for v1
	keepsID  bool                            // it starts again under its ID
	slots    int                             // 0 for engineSlots
	held     []string                        // models at the first start; the engine starts again without any
	more     []string                        // further arguments
	downTime time.Duration                   // from a crash to the next start
	onEvent  func(e *engine, ev engineEvent) // may be nil

	mu       sync.Mutex
	cmd      *exec.Cmd
	starts   int
	stopped  bool
	stopping chan struct{} // closed by stop
	done     chan struct{} // closed when the engine has ended for good
}

const engineSlots = 6

// addEngine starts an engine.
func (d *deployment) addEngine(e *engine) error {
	e.d, e.done, e.stopping = d, make(chan struct{}), make(chan struct{})
	d.mu.Lock()
	d.engines = append(d.engines, e)
	d.mu.Unlock()
	up := make(chan error, 1)
	d.group.Go(func() {
		defer close(e.done)
		for e.run(up) {
			select {
			case <-e.stopping:
			case <-time.After(e.downTime):
			}
		}
	})
	return <-up
}

// run runs the engine once, and reports whether it is to be started again.
func (e *engine) run(up chan<- error) (again bool) {
	e.mu.Lock()
	if e.stopped {
		e.mu.Unlock()
		return false
	}
	e.starts++
	id := fmt.Sprintf("i-%s-%d-%d", e.service, e.number, e.starts)
	if e.keepsID {
		id = fmt.Sprintf("i-%s-%d", e.service, e.number)
	}
	version := "v1"
	if len(e.versions) > 0 {
		version = e.versions[min(e.starts, len(e.versions))-1]
	}
	slots := cmp.Or(e.slots, engineSlots)
	address := e.d.address(engineHost+e.number, engineOffset)
	args := []string{"engine", "-address", address, "-id", id, "-slots", fmt.Sprint(slots), "-work", e.work.String(), "-version", version}
	now := time.Now()
	args = append(args, "-born", fmt.Sprint(now.UnixMilli()))
	args = append(args, e.more...)
	var held []string
	if e.starts == 1 {
		held = e.held
		args = append(args, "-held", strings.Join(held, ","))
	}
	if e.deadly != "" {
		args = append(args, "-deadly-body", e.deadly)
	}
	cmd := exec.CommandContext(context.Background(), os.Args[0], args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	e.cmd = cmd
	e.mu.Unlock()
	if err != nil {
		up <- err
		return false
	}
	zone := zones[e.number%len(zones)]
	l := &listing{
		id: id, service: e.service, address: address, zone: zone, version: version, slots: slots, born: now, from: now.Add(listLag), models: held,
	}
	e.d.platform.add(l)
	readEngineEvents(out, func(ev engineEvent) {
		e.d.rec.printf("engine %s %s: %s %s", id, version, ev.what, ev.attempt)
		if ev.what == "up" {
			select {
			case up <- nil:
			default: // only the first start is waited for
			}
		}
		if ev.what == "holds" && ev.attempt != "" {
			e.d.platform.setModels(l, strings.Split(ev.attempt, ","))
		}
		if e.onEvent != nil {
			e.onEvent(e, ev)
		}
	})
	err = cmd.Wait()
	e.d.platform.end(l, e.keepsID)
	e.d.rec.printf("engine %s has ended: %v", id, err)
	return true
}

// crash kills the engine's process.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Kill()
}

// stop ends the engine for good.
func (e *engine) stop() {
	e.mu.Lock()
	e.stopped = true
	close(e.stopping)
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Kill()
	}
	e.mu.Unlock()
	<-e.done
}

// sleep waits and reports whether ctx is still running.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
