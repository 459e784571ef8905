package engine

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
)

// Prompts are hashed at each multiple of the block size, up to a length that covers common system prompts and documents.
const (
	prefixBlockBytes = 256 // bytes
	maxPrefixes      = 64
)

// PrefixHashes returns the hashes of the model's name together with each prefix of the prompt that is a whole number of blocks
// long, shortest first. Routing and the engines' cache events both use it, so that their hashes match.
func PrefixHashes(model, prompt string) []uint64 {
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

// PromptText returns the text of the messages, or else of the prompt, in a request body.
func PromptText(body map[string]json.RawMessage) (string, error) {
	if raw, ok := body["messages"]; ok {
		return messageText(raw)
	}
	raw, ok := body["prompt"]
	if !ok {
		return "", errors.New("neither messages nor prompt is given")
	}
	return promptText(raw)
}

// PromptParts returns the fingerprints of the parts of a prompt that other requests may share: all messages by role and content, the
// elements of a list of prompts, or a prompt that is one text. A prompt that PromptText can't read has none.
func PromptParts(body map[string]json.RawMessage) []uint64 {
	raw, ok := body["messages"]
	if !ok {
		raw = body["prompt"]
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return nil
		}
		return []uint64{blame.PartFingerprint(text)}
	}
	fingerprints := make([]uint64, 0, len(parts))
	for _, part := range parts {
		fingerprints = append(fingerprints, blame.PartFingerprint(partText(part)))
	}
	return fingerprints
}

// partText returns the role and the content of a message, or the text of another part of a prompt.
func partText(raw json.RawMessage) string {
	var m struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &m); err != nil || m.Content == nil {
		return contentText(raw)
	}
	return m.Role + "\n" + contentText(m.Content)
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

// contentText returns the value of a JSON string, and the compact JSON text of any other value, such as a list of parts.
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
		b.WriteByte(0) // separates the elements
	}
	return b.String(), nil
}
