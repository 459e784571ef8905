package blame

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExpiredVerdictIsFormedAgain guards against a suspect that is never refused again, because its expired verdict still counts.
func TestExpiredVerdictIsFormedAgain(t *testing.T) {
	is := is.New(t)
	var v Verdicts
	now := time.Unix(1000, 0)
	is.True(v.Add(now, guilty))
	is.True(v.Has(now, guilty) && !v.Add(now, guilty))
	now = now.Add(2 * verdictTTL)
	is.True(!v.Has(now, guilty) && !v.Contains(now, guilty))
	is.True(v.Add(now, guilty))
	is.True(v.Contains(now, guilty))
	is.Equal(v.List(now)[0].Age, time.Duration(0))
}
