package caller

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

const (
	// maxCollectedBytes limits the size of the chunks collected for a non-streaming answer.
	maxCollectedBytes = 16 << 20

	// freeTextBytes of an answer take no room in the memory for answers.
	freeTextBytes = 16 << 10

	// joinedBytes is how many bytes a byte of text takes when it is appended to earlier text, and sent.
	joinedBytes = 4

	// longChunkBytes is the size above which a chunk takes the room that any JSON may take when decoded, which is decodedBytes times its
	// size. Shorter ones hold little besides their text.
	longChunkBytes = 8 << 10
	decodedBytes   = 16
)

var errNoRoom = errors.New("no memory for the answer beside others; ask for a stream")

// A collector merges the chunks of a stream into one JSON document, for callers that did not ask for a stream.
type collector struct {
	room      *inbound.Room
	doc       map[string]any
	sizeBytes int
	textBytes int
	err       error
}

var _ attempt.Sink = (*collector)(nil)

// Heartbeat implements attempt.Sink.Heartbeat.
func (*collector) Heartbeat() error {
	return nil
}

// Token implements attempt.Sink.Token.
func (c *collector) Token(t deck.Token) error {
	c.sizeBytes += len(t.Data)
	if c.sizeBytes > maxCollectedBytes {
		c.err = errors.New("the answer is too large to be sent as a whole; ask for a stream")
		return c.err
	}
	long := len(t.Data) > longChunkBytes
	if long && !c.room.Grow(int64(decodedBytes*len(t.Data))) {
		c.err = errNoRoom
		return c.err
	}
	var chunk map[string]any
	if err := json.Unmarshal(t.Data, &chunk); err != nil {
		c.err = errors.New("the engine sent a chunk that is not an object")
		return c.err
	}
	if !long && !c.takeText(textBytes("", chunk)) {
		c.err = errNoRoom
		return c.err
	}
	if c.doc == nil {
		c.doc = make(map[string]any)
	}
	mergeObject(c.doc, chunk)
	return nil
}

// takeText takes the room for n more bytes of text and reports whether there was some.
func (c *collector) takeText(n int) bool {
	before := max(0, c.textBytes-freeTextBytes)
	c.textBytes += n
	return c.room.Grow(int64(joinedBytes * (max(0, c.textBytes-freeTextBytes) - before)))
}

// textBytes returns the size of the texts in a chunk that mergeValue concatenates.
func textBytes(key string, v any) int {
	n := 0
	switch v := v.(type) {
	case string:
		if isConcatenated(key) {
			n = len(v)
		}
	case map[string]any:
		for k, value := range v {
			n += textBytes(k, value)
		}
	case []any:
		for _, value := range v {
			n += textBytes("", value)
		}
	}
	return n
}

// document returns the merged document with the object type and the field names of a non-streaming answer.
func (c *collector) document(path string) map[string]any {
	if c.doc == nil {
		c.doc = make(map[string]any)
	}
	object := "text_completion"
	if path == wire.PathChatCompletions {
		object = "chat.completion"
	}
	c.doc["object"] = object
	choices, _ := c.doc["choices"].([]any)
	for _, v := range choices {
		if choice, ok := v.(map[string]any); ok && choice["delta"] != nil {
			choice["message"] = choice["delta"]
			delete(choice, "delta")
		}
	}
	return c.doc
}

// mergeObject merges a chunk into a document: texts are concatenated, list elements with the same index are merged, and other
// values replace earlier ones unless they are null.
func mergeObject(doc, chunk map[string]any) {
	for k, v := range chunk {
		doc[k] = mergeValue(k, doc[k], v)
	}
}

func mergeValue(key string, old, v any) any {
	switch v := v.(type) {
	case nil:
		return old
	case string:
		if !isConcatenated(key) {
			return v
		}
		existing, ok := old.(*joinedText)
		if !ok {
			existing = &joinedText{}
		}
		_, _ = existing.WriteString(v) // always nil
		return existing
	case map[string]any:
		existing, ok := old.(map[string]any)
		if !ok {
			existing = make(map[string]any)
		}
		mergeObject(existing, v)
		return existing
	case []any:
		return mergeLists(old, v)
	default:
		return v
	}
}

// A joinedText is a text in a document to which chunks append.
type joinedText struct {
	strings.Builder
}

// MarshalJSON implements json.Marshaler.MarshalJSON.
func (t *joinedText) MarshalJSON() ([]byte, error) {
	return json.Marshal(t.String())
}

// isConcatenated reports whether the field's value in a chunk continues the text of earlier chunks.
func isConcatenated(key string) bool {
	switch key {
	case "content", "text", "arguments", "refusal", "reasoning_content":
		return true
	default:
		return false
	}
}

func mergeLists(old any, list []any) any {
	out, _ := old.([]any)
	for _, v := range list {
		element, ok := v.(map[string]any)
		if i := findElement(out, element); ok && i >= 0 {
			mergeObject(out[i].(map[string]any), element)
			continue
		}
		if ok {
			copied := make(map[string]any)
			mergeObject(copied, element)
			v = copied
		}
		out = append(out, v)
	}
	return out
}

// findElement returns the position in the list of the object whose index field equals that of the element, or -1.
func findElement(list []any, element map[string]any) int {
	index, ok := element["index"].(float64)
	if !ok {
		return -1
	}
	for i, v := range list {
		if other, ok := v.(map[string]any); ok && other["index"] == index {
			return i
		}
	}
	return -1
}
