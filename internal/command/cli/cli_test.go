package cli

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"geraniumdeck": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against changed exit codes, errors that do not name their cause, and help texts without examples.
func TestScripts(t *testing.T) {
	is := is.New(t)
	examples, err := filepath.Abs("../../../examples")
	is.NoErr(err)
	operators := startOperators(t)
	unreachable := unusedAddress(t)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			e.Setenv("OPERATORS", operators)
			e.Setenv("UNREACHABLE", unreachable)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exitcode": exitCode,
			"edit":     edit,
		},
	})
}

// exitCode runs a command and compares its exit code: exitcode N command...
func exitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode N command...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	err = ts.Exec(args[1], args[2:]...)
	var e *exec.ExitError
	if errors.As(err, &e) {
		got, err = e.ExitCode(), nil
	}
	ts.Check(err)
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// edit writes a copy of a file with the first occurrence of a text replaced: edit from to old new.
func edit(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: edit from to old new")
	}
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[2]) {
		ts.Fatalf("%s does not contain %q", args[0], args[2])
	}
	text = strings.Replace(text, args[2], args[3], 1)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// startOperators serves the operators' listener of a fake system and returns its address.
func startOperators(t *testing.T) string {
	t.Helper()
	h := &operator.Handler{
		API:        fakeOperatorAPI{},
		BurnReport: burnReport,
		Ready:      func() operator.Readiness { return operator.Readiness{Ready: true} },
		Metrics:    http.NotFoundHandler(),
	}
	s := httptest.NewServer(h.Mux())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// unusedAddress returns a loopback address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
