package attempt

import (
	"maps"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxAhead bounds the tokens that are held back because an earlier one is missing.
const maxBuffered = 256

// An Assembler puts an answer together from the streams of its attempts. Its zero value expects offset 0.
type Assembler struct {
	next     int
	buffered map[int]map[int][]byte // by attempt and offset
}

// A Verdict says what an element of a stream means for the answer.
type AnswerStatus int

// The verdicts.
const (
	AnswerIncomplete AnswerStatus = iota
	AnswerComplete                // the answer is whole
	AnswerInvalid                 // the stream can't be part of the answer
)

// Next returns the offset of the next token to deliver.
func (a *Assembler) NextOffset() int {
	return a.next
}

// Join starts to accept tokens of an attempt.
func (a *Assembler) AddAttempt(attempt int) {
	if a.buffered == nil {
		a.buffered = make(map[int]map[int][]byte)
	}
	a.buffered[attempt] = make(map[int][]byte)
}

// Abandon drops what the attempt sent ahead and whatever arrives of it later.
func (a *Assembler) DropAttempt(attempt int) {
	delete(a.buffered, attempt)
}

// Accept returns the tokens that the element makes deliverable, in order.
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

// end judges the end of a stream that says how many tokens the answer has.
func (a *Assembler) checkLength(tokens int) AnswerStatus {
	if tokens != a.next {
		return AnswerInvalid
	}
	return AnswerComplete
}

// release takes the tokens from the next offset up to the first gap.
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
