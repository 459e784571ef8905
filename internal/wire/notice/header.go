package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Headers of answers. HeaderRetryAfter counts only beside status 503.
const (
	HeaderLeaving    = "Server-Leaving" // 1 if the server stops soon
	HeaderRetryAfter = "Retry-After"    // seconds, with or without fractions
	HeaderLimit      = "Server-Limit"   // requests a second that the server takes from all VMs together
)

const (
	leavingValue = "1"

	// maxPause bounds the pause that a server can ask for, so that a mistake of its does not remove it for good.
	maxPause = time.Hour
)

// FromHeader returns the notice in the header of an answer with the given status. Values that can't be parsed say nothing. Retry-After
// beside other statuses than 503, such as 429, is for one caller.
func FromHeader(status int, h http.Header) deck.ServerNotice {
	n := deck.ServerNotice{Leaving: strings.TrimSpace(h.Get(HeaderLeaving)) == leavingValue}
	if status == http.StatusServiceUnavailable {
		n.Pause = parsePause(h.Get(HeaderRetryAfter))
	}
	n.Limit, n.Limited = parseLimit(h.Get(HeaderLimit))
	return n
}

func parseLimit(v string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, false
	}
	return limit, true
}

func parsePause(v string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}
