package engine

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Prompt prefixes are hashed in growing blocks, up to a bound that covers common system prompts and documents.
const (
	prefixBlockBytes = 256 // bytes
	maxPrefixes      = 64
)

// Prefixes returns the hashes of the model with growing blocks of the prompt, shortest first. The caller's side and the
// engine's cache events use the same function.
func Prefixes(model, prompt string) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixes)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	for i := range n {
		_, _ = d.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		out = append(out, d.Sum64())
	}
	return out
}

// Prompt returns the text of a request body's messages or prompt.
func Prompt(body map[string]json.RawMessage) (string, error) {
	if raw, ok := body["messages"]; ok {
		return messageText(raw)
	}
	raw, ok := body["prompt"]
	if !ok {
		return "", errors.New("neither messages nor prompt is given")
	}
	return promptText(raw)
}

func messageText(raw json.RawMessage) (string, error) {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &messages); err != nil {
		return "", errors.New("messages must be a list of objects with a role and content")
	}
	if len(messages) == 0 {
		return "", errors.New("messages is empty")
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// contentText returns a string as it is and anything else, such as a list of parts, as its compact JSON text.
func contentText(raw json.RawMessage) string {
	var s string
	if err := json.Unmarshal(raw, &s); err == nil {
		return s
	}
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return ""
	}
	return b.String()
}

func promptText(raw json.RawMessage) (string, error) {
	var s string
	if err := json.Unmarshal(raw, &s); err == nil {
		return s, nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil || len(list) == 0 {
		return "", errors.New("prompt must be a string or a list that is not empty")
	}
	var b strings.Builder
	for _, v := range list {
		b.WriteString(contentText(v))
		b.WriteByte(0) // keeps elements apart
	}
	return b.String(), nil
}
