package deployment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// A ChatResponse is what a caller received on a stream of chat chunks.
type ChatResponse struct {
	Tokens   int    // chunks received, one for each token
	Complete bool   // the stream contained [DONE]
	Text     string // content of the chunks received
}

// A Caller is an HTTP client of one address: the callers' listener of a VM or an emulator.
type Caller struct {
	Address string
	HTTP    *http.Client
}

// NewCaller returns a Caller with a connection pool of its own.
func NewCaller(address string) Caller {
	return Caller{Address: address, HTTP: &http.Client{Transport: &http.Transport{}}}
}

type chatRequest struct {
	Model     string        `json:"model"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Chat requests a streamed chat completion and returns what was received; onToken, if not nil, is called after each token
// with the number of tokens so far. A status other than 200 is an error.
func (c Caller) Chat(ctx context.Context, model, prompt string, maxTokens int, onToken func(n int)) (ChatResponse, error) {
	body, err := json.Marshal(chatRequest{
		Model: model, MaxTokens: maxTokens, Stream: true, Messages: []chatMessage{{"user", prompt}},
	})
	if err != nil {
		return ChatResponse{}, errors.Wrap(err, "chat")
	}
	resp, err := c.send(ctx, "/v1/chat/completions", body, nil)
	if err != nil {
		return ChatResponse{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ChatResponse{}, statusError(resp)
	}
	return readStream(resp.Body, onToken)
}

// Post sends a POST request with an idempotency key and returns the status and body of the response.
func (c Caller) Post(ctx context.Context, path, key string, body []byte) (int, string, error) {
	resp, err := c.send(ctx, path, body, map[string]string{"Idempotency-Key": key})
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func (c Caller) send(ctx context.Context, path string, body []byte, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := c.HTTP.Do(req)
	return resp, errors.Wrap(err, path)
}

func readStream(r io.Reader, onToken func(int)) (ChatResponse, error) {
	var out ChatResponse
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.Complete = true
			continue
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return out, errors.Wrapf(err, "decode event %q", data)
		}
		if len(chunk.Choices) == 0 {
			return out, errors.Newf("event %q has no choices", data)
		}
		out.Text += chunk.Choices[0].Delta.Content
		out.Tokens++
		if onToken != nil {
			onToken(out.Tokens)
		}
	}
	return out, sc.Err()
}

func statusError(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return err
	}
	return errors.Newf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(data)))
}

// Get returns the body of the response to a GET request; a status other than 200 is an error.
func Get(ctx context.Context, address, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", address, path), nil)
	if err != nil {
		return "", errors.Wrap(err, path)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", statusError(resp)
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}
