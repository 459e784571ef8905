package node

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	settings "github.com/geraniumdeck/geraniumdeck/internal/settings/node"
)

const settingsFile = `vm: entry-1
data-centre: graz-a
region: steiermark
regions: {graz-a: steiermark}
address: 127.0.0.1
peer-ports: [1, 1]
seeds: ["10.1.0.33:8144"]
first-start: true
data-folder: ""
listen: {callers: "127.0.0.1:0", ready: "127.0.0.1:0", operators: ""}
memory-megabytes: 284
platform: {address: "10.200.0.100:8142"}
losses-to-bear: 1
bounds: {grace-seconds: 8, lease-milliseconds: 3000, retry-share: 0.2, retry-slack: 56, retry-window-seconds: 10}
`

func newTestNode(t *testing.T) (n *Node, file string) {
	t.Helper()
	is := is.New(t)
	file = filepath.Join(t.TempDir(), "node.yaml")
	is.NoErr(os.WriteFile(file, []byte(settingsFile), 0o600))
	s, err := settings.Read(file)
	is.NoErr(err)
	n, err = New(file, s, Entry)
	is.NoErr(err)
	return n, file
}

// Guards against termination of the process by SIGHUP, which cut off every response that an entry VM was sending.
func TestHangupReloadsTheSeeds(t *testing.T) {
	is := is.New(t)
	n, file := newTestNode(t)
	changed := strings.Replace(settingsFile, "10.1.0.33", "10.1.0.99", 1)
	is.NoErr(os.WriteFile(file, []byte(changed), 0o600))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return n.watchSettings(ctx) })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	for ctx.Err() == nil && n.settings().Seeds[0] != "10.1.0.99:8144" {
		select {
		case <-ctx.Done():
		case <-time.After(time.Millisecond):
		}
	}
	is.Equal(n.settings().Seeds[0], "10.1.0.99:8144")
	cancel()
	is.NoErr(g.Wait())
}

// Guards against settings that are replaced although the new file can't be parsed.
func TestBadSettingsLeaveTheOldOnesInForce(t *testing.T) {
	is := is.New(t)
	n, file := newTestNode(t)
	is.NoErr(os.WriteFile(file, []byte("vm: [\n"), 0o600))
	n.reload()
	is.Equal(n.settings().Seeds[0], "10.1.0.33:8144")
}
