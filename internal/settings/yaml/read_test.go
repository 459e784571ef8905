package yaml

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const examples = "../../../examples"

func validSettings(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(examples, "single-machine.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func lineOf(text, marker string) int {
	before, _, _ := strings.Cut(text, marker)
	return 1 + strings.Count(before, "\n")
}

// Guards against example files that do not pass validation.
func TestExamplesAreValid(t *testing.T) {
	for name, vms := range map[string]int{"single-machine": 6, "kranzberger-indexwerk": 8, "syningarhandbok": 8} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Read(filepath.Join(examples, name+".yaml"))
			is.NoErr(err)
			is.Equal(len(s.VMs), vms)
			is.Equal(len(s.ControlVMs()), 3)
			_, ok := s.VM(s.VMs[0].Name)
			is.True(ok)
		})
	}
}

// Guards against invalid files that are accepted, and against errors without the line of the invalid setting.
func TestParseRejectsInvalidFiles(t *testing.T) {
	tests := map[string]struct {
		old, new, want string
		at             string // text that starts on the reported line of the invalid file
	}{
		"unknown key":           {"max-streams:", "max-stream:", "unknown key", "max-stream:"},
		"duplicate key":         {"  max-streams: 2000", "  max-body: 1MiB", "max-body", "  max-body: 1MiB"},
		"not YAML":              {"regions:", "regions: [", "", "vms:"},
		"wrong type":            {"max-streams: 2000", "max-streams: many", "whole number", "max-streams: many"},
		"duration without unit": {"header-timeout: 5s", "header-timeout: 5", "duration with a unit", "header-timeout: 5"},
		"wrong unit":            {"max-body: 4MiB", "max-body: 4MB", "size in KiB or MiB", "max-body: 4MB"},
		"impossible value":      {"target: 0.95", "target: 1.5", "above 0 and below 1", "target: 1.5"},
		"unknown data centre":   {"data-centre: south-b", "data-centre: east-d", "in no region", "data-centre: east-d"},
		"unknown role":          {"roles: [entry]", "roles: [enter]", "expected entry or control", "roles: [enter]"},
		"address not by number": {"callers: 127.0.0.1:17001", "callers: localhost:17001", "expected IP:port", "callers: localhost"},
		"address used twice":    {"operators: 127.0.0.1:17211", "operators: 127.0.0.1:17111", "already used", "operators: 127.0.0.1:17111"},
		"VM listed twice":       {"name: entry-1", "name: control-1", "listed twice", "name: control-1\n    data-centre: north-a\n    roles: [entry]"},
		"control without disk":  {"    data-folder: /tmp/geraniumdeck/control-1\n", "", "needs a data-folder", "- name: control-1"},
		"even control count":    {"roles: [control]\n    data-folder: /tmp/geraniumdeck/control-1", "roles: [entry]", "missing, expected IP:port", "      peers:"},
		"negative rate":         {"loads-per-second: 3", "loads-per-second: -3", "above 0", "loads-per-second: -3"},
		"bad URL":               {"vm-list: http://127.0.0.1:17401", "vm-list: 127.0.0.1:17401", "expected http://", "vm-list: 127"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := validSettings(t)
			is.True(strings.Contains(text, tt.old))
			broken := strings.Replace(text, tt.old, tt.new, 1)
			_, err := Parse("f.yaml", []byte(broken))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), tt.want))
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.File, "f.yaml")
			is.Equal(e.Line, lineOf(broken, tt.at))
		})
	}
}

// Guards against input that makes the parser panic.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"single-machine", "syningarhandbok"} {
		data, err := os.ReadFile(filepath.Join(examples, name+".yaml"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("f.yaml", data)
	})
}
