package ingress

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

// Guards against long events that together take a VM's memory, against short ones that are refused for them, and against room that does
// not come back.
func TestLongEventsTakeTheRoomThatIsLeft(t *testing.T) {
	is := is.New(t)
	short, long := "data: x\n\n", "data: "+strings.Repeat("x", 200<<10)+"\n\n"
	memory := &inbound.Budget{Bytes: 4 << 20} // a quarter is for answers
	room := memory.Open(inbound.Answers, nil)
	used := func() int64 { return memory.Usage(inbound.Answers).Bytes }
	events := newEventReader(strings.NewReader(short+long+short+long+long), "", room)
	for _, want := range []string{short, long, short} {
		data, err := events.next()
		is.NoErr(err)
		is.Equal(string(data), want)
		is.True(used() >= int64(len(want)) || want == short)
	}
	is.Equal(used(), int64(0))
	other := memory.Open(inbound.Answers, nil)
	is.True(other.Grow(1 << 20))
	_, err := events.next()
	is.True(errors.Is(err, errNoRoom))

	firstEvent := func(text string) (string, error) {
		resp := &http.Response{Body: io.NopCloser(strings.NewReader(text))}
		if err := readFirstEvent(resp, memory.Open(inbound.Answers, nil)); err != nil {
			return "", err
		}
		data, err := io.ReadAll(resp.Body)
		return string(data), err
	}
	text, err := firstEvent(short + long)
	is.NoErr(err)
	is.Equal(text, short+long)
	_, err = firstEvent(long)
	is.True(errors.Is(err, errNoRoom))
	other.Release()
	text, err = firstEvent(long)
	is.NoErr(err)
	is.Equal(text, long)
}
