package jsonlist_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/wire/jsonlist"
)

func decodeName(entry []byte) (string, bool) {
	var e struct{ Name *string }
	if err := json.Unmarshal(entry, &e); err != nil || e.Name == nil {
		return "", false
	}
	return *e.Name, true
}

// TestDecodeSkipsOddEntries guards against one entry that makes the entries around it, or what follows the list, unreadable.
func TestDecodeSkipsOddEntries(t *testing.T) {
	for name, odd := range map[string]string{
		"another type":            `7`,
		"text":                    `"a, {\"name\": \"x\"}"`,
		"null":                    `null`,
		"missing field":           `{"name": null}`,
		"deep arrays":             strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"deep objects":            strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"deep objects in a field": `{"name": "x", "a":` + strings.Repeat(`{"a":`, 12_000) + "1" + strings.Repeat("}", 12_000) + "}",
		"large":                   `{"name": "` + strings.Repeat("x", 5<<20) + `"}`,
		"control characters":      "\"\x01\x02\"",
		"no JSON":                 "\x01\x02\xff",
		"no JSON in an object":    "{\"name\": \x01, \"list\": [{\"a\": 1}, {\"b\": 2}]}",
		"number too large":        `{"name": 1e400}`,
		"open string":             `{"name": "x`,
		"open strings":            `{"name": "x}, {"name": "y}`,
		"open object":             `{"name": "x", "a": {`,
		"closed twice":            `{"name": "x"}}`,
		"closed list":             `{"name": 1]}`,
		"nothing":                 ``,
	} {
		for _, position := range []string{`%,{"name":"a"},{"name":"b"}`, `{"name":"a"},%,{"name":"b"}`, `{"name":"a"} , {"name":"b"},%`} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				data := `{"first": [1, {"list": 2}], "list": [ ` + strings.ReplaceAll(position, "%", odd) + ` ], "next": "p-2"}`
				got, err := jsonlist.Decode([]byte(data), "list", decodeName)
				is.NoErr(err)
				is.Equal(got.Entries, []string{"a", "b"})
				is.Equal(string(got.Members["next"]), `"p-2"`)
				is.Equal(string(got.Members["first"]), `[1, {"list": 2}]`)
				is.True(got.Skipped > 0 || odd == "")
			})
		}
	}
}

// TestDecodeReportsBrokenLists guards against a list that was cut off, or is none, and passes for one with fewer entries.
func TestDecodeReportsBrokenLists(t *testing.T) {
	for _, data := range []string{
		``, `[]`, `{}`, `{"list": 7}`, `{"list": {}}`, `{"other": []}`, `{"list": [`, `{"list": [{"name": "a"}`, `{"list": [{"name": "a"}, `,
		`{"list": [{"name": "a"}]`, `{"list": [{"name": "a"}], "next"`, `{"list": [{"name": "a"}], "next": "p-2"`,
	} {
		is := is.New(t)
		_, err := jsonlist.Decode([]byte(data), "list", decodeName)
		is.True(err != nil)
	}
	is := is.New(t)
	empty, err := jsonlist.Decode([]byte(` {"list": [ ]} `), "list", decodeName)
	is.NoErr(err)
	is.Equal(len(empty.Entries)+empty.Skipped, 0)
}

// FuzzDecode guards against odd entries that end the process, or hide entries on either side of one that is JSON.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "x`))
	f.Add([]byte(`[[[`))
	f.Add([]byte(`"\u0000"`))
	f.Fuzz(func(t *testing.T, odd []byte) {
		data := append(append([]byte(`{"list":[{"name":"a"},`), odd...), `,{"name":"b"}],"next":"p-2"}`...)
		got, err := jsonlist.Decode(data, "list", decodeName)
		if err == nil && (len(got.Entries) == 0 || got.Entries[0] != "a") {
			t.Fatalf("entries: %q", got.Entries)
		}
		if json.Valid(odd) && (err != nil || got.Entries[len(got.Entries)-1] != "b") {
			t.Fatalf("entries: %q, error: %v", got.Entries, err)
		}
	})
}
