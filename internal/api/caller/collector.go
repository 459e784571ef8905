package caller

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// maxCollectedBytes limits the size of the chunks collected for a non-streaming answer.
const maxCollectedBytes = 16 << 20

// A collector merges the chunks of a stream into one JSON document, for callers that did not ask for a stream.
type collector struct {
	doc       map[string]any
	sizeBytes int
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
	var chunk map[string]any
	if err := json.Unmarshal(t.Data, &chunk); err != nil {
		c.err = errors.New("the engine sent a chunk that is not an object")
		return c.err
	}
	if c.doc == nil {
		c.doc = make(map[string]any)
	}
	mergeObject(c.doc, chunk)
	return nil
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
		if existing, ok := old.(string); ok && isConcatenated(key) {
			return existing + v
		}
		return v
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
