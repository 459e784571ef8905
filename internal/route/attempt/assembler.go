package attempt

import (
	"maps"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxAhead bounds the tokens that are held back because an earlier one is missing.
const maxAhead = 256

// An Assembler puts an answer together from the streams of its attempts. Its zero value expects offset 0.
type Assembler struct {
	next  int
	ahead map[int]map[int][]byte // by attempt and offset
}

// A Verdict says what an element of a stream means for the answer.
type Verdict int

// The verdicts.
const (
	Continue Verdict = iota
	Complete         // the answer is whole
	Faulty           // the stream can't be part of the answer
)

// Next returns the offset of the next token to deliver.
func (a *Assembler) Next() int {
	return a.next
}

// Join starts to accept tokens of an attempt.
func (a *Assembler) Join(attempt int) {
	if a.ahead == nil {
		a.ahead = make(map[int]map[int][]byte)
	}
	a.ahead[attempt] = make(map[int][]byte)
}

// Abandon drops what the attempt sent ahead and whatever arrives of it later.
func (a *Assembler) Abandon(attempt int) {
	delete(a.ahead, attempt)
}

// Accept returns the tokens that the element makes deliverable, in order.
func (a *Assembler) Accept(attempt int, t deck.Token) ([]deck.Token, Verdict) {
	ahead, ok := a.ahead[attempt]
	if !ok {
		return nil, Continue
	}
	if t.Last && t.Data == nil {
		return nil, a.end(t.Offset)
	}
	if t.Offset >= a.next+maxAhead {
		return nil, Faulty
	}
	if t.Offset >= a.next {
		ahead[t.Offset] = t.Data
	}
	out := a.release(ahead)
	if t.Last {
		return out, a.end(t.Offset + 1)
	}
	return out, Continue
}

// end judges the end of a stream that says how many tokens the answer has.
func (a *Assembler) end(tokens int) Verdict {
	if tokens != a.next {
		return Faulty
	}
	return Complete
}

// release takes the tokens from the next offset up to the first gap.
func (a *Assembler) release(ahead map[int][]byte) []deck.Token {
	maps.DeleteFunc(ahead, func(offset int, _ []byte) bool { return offset < a.next })
	var out []deck.Token
	for {
		data, ok := ahead[a.next]
		if !ok {
			return out
		}
		delete(ahead, a.next)
		out = append(out, deck.Token{Offset: a.next, Data: data})
		a.next++
	}
}
