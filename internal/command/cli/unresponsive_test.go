package cli

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnresponsiveVMLeavesTimeForOthers guards against a command that spends its whole timeout on one VM that accepts
// connections but never responds.
func TestUnresponsiveVMLeavesTimeForOthers(t *testing.T) {
	is := is.New(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // connections complete in the backlog and are never accepted
	is.NoErr(err)
	t.Cleanup(func() { _ = unresponsive.Close() })
	file := settingsWithOperators(t, unresponsive.Addr().String(), startOperators(t))
	ticketFile, err := filepath.Abs("../../../examples/single-machine-ticket-1.yaml")
	is.NoErr(err)
	const timeout = 2 * time.Second
	for _, args := range [][]string{
		{"apply", "--no-wait", ticketFile}, {"state"}, {"ticket", "1"}, {"burn"},
	} {
		t.Run(args[0], func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			start := time.Now()
			code := Run(append(args, "-s", file, "--timeout", timeout.String()), &out, &errs)
			is.Equal(code, ExitOK)
			is.True(time.Since(start) < timeout/2)
		})
	}
}

// settingsWithOperators returns a settings file whose first two VMs have operators' listeners at the given addresses.
func settingsWithOperators(t *testing.T, first, second string) string {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile("../../../examples/single-machine.yaml")
	is.NoErr(err)
	lines := strings.Split(string(data), "\n")
	addresses := []string{first, second}
	for i, line := range lines {
		at := strings.Index(line, "operators:")
		if at >= 0 && len(addresses) > 0 {
			lines[i], addresses = line[:at]+"operators: "+addresses[0]+afterValue(line[at:]), addresses[1:]
		}
	}
	is.Equal(len(addresses), 0)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600))
	return file
}

// afterValue returns the remainder of a line after the value of a field, as other fields may follow it on the same line.
func afterValue(s string) string {
	if i := strings.IndexAny(s, ",}"); i >= 0 {
		return s[i:]
	}
	return ""
}
