package noticerules

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/wire/notice"
)

// Bounds of the users' rules.
const (
	DrainTime    = 4 * time.Second        // until a VM that a server has told that it leaves sends it no more requests
	ContactTime  = 4 * time.Second        // that news may take
	NoticeMargin = 500 * time.Millisecond // from an answer until what it says binds a VM
	MaxInPause   = 2                      // requests of a VM in a pause
	LimitWindow  = 4 * time.Second

	limitFactor = 1.5
	limitSlack  = 5.0
)

// A Request is a request that a server got.
type Request struct {
	At       time.Time
	VM       string      // that sent it
	Path     string      // of the request
	Answered time.Time   // zero while it is not
	Header   http.Header // of the answer
}

// AfterLeaving returns how many requests came from a VM later than DrainTime after the server told it that it leaves.
func AfterLeaving(requests []Request) int {
	told := firstTold(requests, notice.HeaderLeaving)
	late := 0
	for _, r := range requests {
		if at, ok := told[r.VM]; ok && r.At.Sub(at) > DrainTime {
			late++
		}
	}
	return late
}

// InPauses returns the most requests that came from one VM in a pause that the server had asked it for.
func InPauses(requests []Request) int {
	most := 0
	for _, refusal := range requests {
		seconds, err := strconv.ParseFloat(refusal.Header.Get(notice.HeaderRetryAfter), 64)
		if err != nil {
			continue
		}
		end := refusal.Answered.Add(time.Duration(seconds * float64(time.Second)))
		n := 0
		for _, r := range requests {
			if r.VM == refusal.VM && r.At.After(refusal.Answered.Add(NoticeMargin)) && r.At.Before(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// OverLimit returns by how many requests the server got more than its limit allows, at most in any LimitWindow that begins at the given
// time or later. Counted are those of VMs that it had told NoticeMargin before. A negative number is within the limit.
func OverLimit(requests []Request, limit float64, from time.Time) float64 {
	told := firstTold(requests, notice.HeaderLimit)
	var counted []time.Time
	for _, r := range requests {
		if at, ok := told[r.VM]; ok && r.At.Sub(at) >= NoticeMargin && !r.At.Before(from) {
			counted = append(counted, r.At)
		}
	}
	return float64(MostInWindow(counted)) - LimitAllows(limit)
}

// LimitAllows returns how many requests a limit allows in a LimitWindow.
func LimitAllows(limit float64) float64 {
	return limitFactor*LimitWindow.Seconds()*limit + limitSlack
}

// MostInWindow returns the most of the times that lie in any LimitWindow.
func MostInWindow(times []time.Time) int {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > LimitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// firstTold returns when the server first had a header in its answer to a request of each VM.
func firstTold(requests []Request, header string) map[string]time.Time {
	told := make(map[string]time.Time)
	for _, r := range requests {
		if r.Header.Get(header) == "" {
			continue
		}
		if at, ok := told[r.VM]; !ok || r.Answered.Before(at) {
			told[r.VM] = r.Answered
		}
	}
	return told
}
