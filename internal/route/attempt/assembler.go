package attempt

import (
	"maps"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxBuffered limits how far ahead of the next offset a token may arrive; tokens after a gap are buffered.
const maxBuffered = 256

// An Assembler merges the token streams of a request's attempts into one ordered answer. Its zero value expects offset 0.
type Assembler struct {
	next     int
	buffered map[int]map[int][]byte // by attempt and offset
}

// An AnswerStatus is the state of an answer after an element of a stream.
type AnswerStatus int

// The states of an answer.
const (
	AnswerIncomplete AnswerStatus = iota
	AnswerComplete                // every token has been released
	AnswerInvalid                 // the offsets of the stream contradict the answer
)

// NextOffset returns the offset of the next token to deliver.
func (a *Assembler) NextOffset() int {
	return a.next
}

// AddAttempt accepts tokens of an attempt from now on.
func (a *Assembler) AddAttempt(attempt int) {
	if a.buffered == nil {
		a.buffered = make(map[int]map[int][]byte)
	}
	a.buffered[attempt] = make(map[int][]byte)
}

// DropAttempt discards the attempt's buffered tokens and ignores those that arrive later.
func (a *Assembler) DropAttempt(attempt int) {
	delete(a.buffered, attempt)
}

// Accept adds an element of an attempt's stream and returns the tokens that are now deliverable, in order.
func (a *Assembler) Accept(attempt int, t deck.Token) ([]deck.Token, AnswerStatus) {
	buffered, ok := a.buffered[attempt]
	if !ok {
		return nil, AnswerIncomplete
	}
	if t.Last && t.Data == nil {
		return nil, a.checkLength(t.Offset)
	}
	if t.Offset >= a.next+maxBuffered {
		return nil, AnswerInvalid
	}
	if t.Offset >= a.next {
		buffered[t.Offset] = t.Data
	}
	out := a.takeContiguous(buffered)
	if t.Last {
		return out, a.checkLength(t.Offset + 1)
	}
	return out, AnswerIncomplete
}

// checkLength compares the number of tokens that the end of a stream implies with those delivered.
func (a *Assembler) checkLength(tokens int) AnswerStatus {
	if tokens != a.next {
		return AnswerInvalid
	}
	return AnswerComplete
}

// takeContiguous removes and returns the tokens from the next offset up to the first gap.
func (a *Assembler) takeContiguous(buffered map[int][]byte) []deck.Token {
	maps.DeleteFunc(buffered, func(offset int, _ []byte) bool { return offset < a.next })
	var out []deck.Token
	for {
		data, ok := buffered[a.next]
		if !ok {
			return out
		}
		delete(buffered, a.next)
		out = append(out, deck.Token{Offset: a.next, Data: data})
		a.next++
	}
}
