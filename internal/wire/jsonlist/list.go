package jsonlist

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

const (
	maxEntryBytes = 256 << 10 // of an entry that is decoded; larger ones are skipped
	maxEntryDepth = 64        // of objects and arrays within an entry that is decoded

	// maxSearchFactor times the size of the list may be scanned in search of readable entries after unreadable ones.
	maxSearchFactor = 8

	// maxEndCandidates is in how many places the end of a list is looked for whose last entries can't be read.
	maxEndCandidates = 16

	whitespace = " \t\r\n"
)

// A List is a list that was read.
type List[T any] struct {
	Entries []T
	Skipped int                        // entries that could not be used
	Members map[string]json.RawMessage // the other members of the object that holds the list
}

// Decode reads the list under the name in a JSON object, with decode for each entry, which reports whether it could use it and has no
// other effect. Other entries are skipped: bytes that are no JSON, values of any size and depth. An error says that the
// object around the entries can't be read.
func Decode[T any](data []byte, name string, decode func(entry []byte) (T, bool)) (List[T], error) {
	start, members, err := openList(data, name)
	if err != nil {
		return List[T]{}, err
	}
	s := scanner[T]{data: data, decode: decode, searchBytes: maxSearchFactor * len(data), list: List[T]{Members: members}}
	if err := s.scan(start); err != nil {
		return List[T]{}, errors.Wrapf(err, "list %q", name)
	}
	return s.list, nil
}

// openList returns the offset of the first byte within the list, and the members of the object before it.
func openList(data []byte, name string) (start int, members map[string]json.RawMessage, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return 0, nil, errors.New("not a JSON object")
	}
	members = make(map[string]json.RawMessage)
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return 0, nil, err
		}
		if key == name {
			if t, err := d.Token(); err != nil || t != json.Delim('[') {
				return 0, nil, errors.Newf("%q is not a list", name)
			}
			return int(d.InputOffset()), members, nil
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return 0, nil, err
		}
		members[key.(string)] = value // keys are strings
	}
	return 0, nil, errors.Newf("list %q is missing", name)
}

// A scanner finds the entries of a list.
type scanner[T any] struct {
	data        []byte
	decode      func(entry []byte) (T, bool)
	searchBytes int // that may still be scanned in searches
	list        List[T]
}

// scan reads the entries from the offset on, and what follows the list.
func (s *scanner[T]) scan(at int) error {
	for {
		at = skipSpace(s.data, at)
		if at < len(s.data) && s.data[at] == ']' && s.readRest(at+1) == nil {
			return nil
		}
		v := scanValue(s.data, at)
		if entry, ok := s.use(v); ok {
			s.list.Entries = append(s.list.Entries, entry)
			at = afterComma(s.data, v.end)
			continue
		}
		s.list.Skipped++
		if v.separated && (v.tooLarge() || json.Valid(v.raw)) {
			at = afterComma(s.data, v.end)
			continue
		}
		next, ok := s.search(at)
		if !ok {
			return s.findEnd()
		}
		at = next
	}
}

// use decodes a value that is an entry of its own.
func (s *scanner[T]) use(v value) (entry T, ok bool) {
	if !v.separated || v.tooLarge() {
		return entry, false
	}
	return s.decode(v.raw)
}

// search returns the offset of the next usable entry after unreadable bytes: an object that follows a comma.
func (s *scanner[T]) search(at int) (next int, ok bool) {
	for s.searchBytes > 0 && at < len(s.data) {
		i := bytes.IndexByte(s.data[at:], ',')
		if i < 0 {
			return 0, false
		}
		at = skipSpace(s.data, at+i+1)
		if at >= len(s.data) || s.data[at] != '{' {
			continue
		}
		v := scanValue(s.data[:min(len(s.data), at+maxEntryBytes)], at)
		s.searchBytes -= v.end - at
		if _, ok := s.use(v); ok {
			return at, true
		}
	}
	return 0, false
}

// findEnd reads what follows a list whose last entries can't be read.
func (s *scanner[T]) findEnd() error {
	end := len(s.data)
	for range maxEndCandidates {
		end = bytes.LastIndexByte(s.data[:end], ']')
		if end < 0 {
			break
		}
		if s.readRest(end+1) == nil {
			return nil
		}
	}
	return errors.New("the end can't be found")
}

// readRest reads the members that follow the list.
func (s *scanner[T]) readRest(at int) error {
	rest := bytes.TrimLeft(s.data[at:], whitespace)
	if len(rest) > 0 && rest[0] == ',' {
		rest = rest[1:]
	}
	return json.Unmarshal(append([]byte{'{'}, rest...), &s.list.Members)
}

// A value is what looks like a JSON value, by its quotes and brackets alone.
type value struct {
	raw       []byte
	end       int  // offset after it
	depth     int  // of objects and arrays
	separated bool // followed by a comma or the end of a list
}

func (v value) tooLarge() bool {
	return len(v.raw) > maxEntryBytes || v.depth > maxEntryDepth
}

// scanValue returns the value at the offset.
func scanValue(data []byte, at int) value {
	v := value{end: at}
	open := 0
	for v.end < len(data) {
		c := data[v.end]
		if open == 0 && (c == ',' || c == ']' || c == '}') {
			break
		}
		v.end++
		switch c {
		case '"':
			v.end = endOfString(data, v.end)
		case '{', '[':
			open++
			v.depth = max(v.depth, open)
		case '}', ']':
			open--
		}
	}
	v.raw = bytes.TrimRight(data[at:v.end], whitespace)
	v.separated = open == 0 && v.end < len(data) && data[v.end] != '}'
	return v
}

// endOfString returns the offset after the string whose content begins at the offset.
func endOfString(data []byte, at int) int {
	for at < len(data) {
		switch data[at] {
		case '"':
			return at + 1
		case '\\':
			at++
		}
		at++
	}
	return len(data)
}

func skipSpace(data []byte, at int) int {
	return len(data) - len(bytes.TrimLeft(data[min(at, len(data)):], whitespace))
}

// afterComma returns the offset after the comma at the offset, if there is one.
func afterComma(data []byte, at int) int {
	if at < len(data) && data[at] == ',' {
		return at + 1
	}
	return at
}
