package node_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/settings/node"
)

const example = `vm: "entry-1"
data-centre: "graz-a"
region: "steiermark"
regions: {"graz-a":"steiermark","wien-b":"wien"}
address: "10.1.0.30"
peer-ports: [7380,7395]
seeds: ["10.1.0.33:8144","10.2.0.37:8144"]
first-start: true
data-folder: ""
listen:
  callers: "10.1.0.30:8149"
  ready: "10.1.0.30:8141"
  operators: ""
memory-megabytes: 284
platform:
  address: "10.200.0.100:8142"
losses-to-bear: 1
bounds:
  grace-seconds: 8
  lease-milliseconds: 3000
  engines-check-fencing: true
  retry-share: 0.2
  retry-slack: 56
  retry-window-seconds: 10
  hedge-share: 0.02
  hedge-window-seconds: 30
`

// Guards against settings that are read into the wrong field, and against peer addresses with the wrong port.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := node.Parse([]byte(example))
	is.NoErr(err)
	is.Equal(s.PeerName(), deck.VMName("10.1.0.30:7380"))
	is.Equal(s.SeedNames(), []deck.VMName{"10.1.0.33:7380", "10.2.0.37:7380"})
	is.Equal(s.MetricsAddress(), "10.1.0.30:7381")
	is.Equal(s.Bounds.Lease, 3*time.Second)
	is.Equal(s.Regions["wien-b"], deck.Region("wien"))
}

// Guards against invalid settings that are accepted, and against errors that do not name the setting.
func TestParseErrorNamesTheSetting(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`vm: "entry-1"`, `vm: ""`, "vm is missing"},
		{`"10.1.0.30"` + "\n", `"here"` + "\n", "no IP number"},
		{`[7380,7395]`, `[7380]`, "peer-ports"},
		{`["10.1.0.33:8144","10.2.0.37:8144"]`, `[]`, "seeds are missing"},
		{`["10.1.0.33:8144","10.2.0.37:8144"]`, `["10.1.0.33"]`, "seeds"},
		{`losses-to-bear: 1`, `losses-to-bear: -1`, "losses-to-bear"},
		{`lease-milliseconds: 3000`, `lease-milliseconds: 0`, "lease-milliseconds"},
		{`hedge-share: 0.02`, `hedge-share: 0.3`, "bounds.hedge-share"},
		{`hedge-window-seconds: 30`, `hedge-window-seconds: -1`, "bounds.hedge-window-seconds"},
		{`first-start: true`, `first-begin: true`, "first-begin"},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			_, err := node.Parse([]byte(strings.Replace(example, c.old, c.new, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against a setting that the deployment template omits or spells differently.
func TestTemplateHasTheSettings(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../deploy/node.yaml.tmpl")
	is.NoErr(err)
	for line := range strings.Lines(example) {
		key, _, _ := strings.Cut(strings.TrimSpace(line), ":")
		is.True(strings.Contains(string(data), key+":")) // in the template
	}
}
