package deck

import (
	"context"
	"slices"
	"time"
)

// A Crash reports that a backend server broke its connection while it had a request.
type Crash struct {
	RequestFingerprint uint64 // of the path and body
	Server             BackendName
	StartUnixMs        int64         // Unix ms of the server's start, which tells its incarnations apart; 0 if unknown
	Parts              []uint64      // fingerprints of the parts of the request that may be to blame; of equal ones the last is blamed
	Began              bool          // the server had begun to answer the request
	Elapsed            time.Duration // from sending the request to the crash; 0 if unknown
	Age                time.Duration // since the crash was observed
}

// A Verdict is a request or a part of prompts that is refused, because it crashes backend servers.
type Verdict struct {
	Suspect uint64        // fingerprint of the request or of the part
	Age     time.Duration // since the verdict was formed
	Idle    time.Duration // since a request with the suspect last came
}

// A BlameReport is what an entry VM tells the leader about requests that crash backend servers.
type BlameReport struct {
	Crashes  []Crash   // that the leader has not confirmed
	Verdicts []Verdict // that this VM knows
	Cleared  []uint64  // suspects with which a request completed
}

// A BlameView is what the leader knows about requests that crash backend servers.
type BlameView struct {
	Term     uint64    // of the leader, which forgets the crashes of earlier terms
	Verdicts []Verdict // all that are in force
	Watched  []uint64  // parts that are one crash short of a verdict
	Blamed   []uint64  // parts that are to blame, unless a VM objects or, after a restart, no further crash comes
	Trials   []uint64  // suspects with which this VM may send one request, to see whether they still crash servers
}

// A BlameState is what a leader knows about requests that crash backend servers, as it outlives a restart of all processes.
type BlameState struct {
	Revision uint64 // a state replaces those with lower ones
	Crashes  []Crash
	Verdicts []SavedVerdict
	Cleared  []ClearedSuspect // earlier crashes are no evidence against them
	Lifted   []ClearedSuspect // earlier verdicts on them don't hold
}

// A SavedVerdict is a verdict with the requests that were let through to try it.
type SavedVerdict struct {
	Verdict
	Trials     int
	SinceTrial time.Duration // since the last one
}

// A ClearedSuspect is a suspect that was found to be sound.
type ClearedSuspect struct {
	Suspect uint64
	Age     time.Duration // since it was
}

// WithAge returns the state as it is after the given time.
func (s BlameState) WithAge(d time.Duration) BlameState {
	s.Crashes, s.Verdicts = slices.Clone(s.Crashes), slices.Clone(s.Verdicts)
	s.Cleared, s.Lifted = slices.Clone(s.Cleared), slices.Clone(s.Lifted)
	for i := range s.Crashes {
		s.Crashes[i].Age += d
	}
	for i := range s.Verdicts {
		v := &s.Verdicts[i]
		v.Age, v.Idle, v.SinceTrial = v.Age+d, v.Idle+d, v.SinceTrial+d
	}
	for _, list := range [][]ClearedSuspect{s.Cleared, s.Lifted} {
		for i := range list {
			list[i].Age += d
		}
	}
	return s
}

// A BlameTable is what a control VM knows about requests that crash backend servers.
type BlameTable interface {
	// RestoreBlame takes over a state that was saved, unless one with the same or a higher revision is known.
	RestoreBlame(s BlameState)

	// TakeUnsavedBlame returns the state to save if this VM leads and the state has changed since the last call.
	TakeUnsavedBlame() (s BlameState, ok bool)

	// ReturnUnsavedBlame says that the state of the last TakeUnsavedBlame could not be saved.
	ReturnUnsavedBlame()
}

// A VerdictRegistry shows verdicts to operators and lifts them at their request.
type VerdictRegistry interface {
	// Verdicts returns the verdicts in force.
	Verdicts() []Verdict

	// LiftVerdict lifts a verdict and reports whether there was one. On a VM that does not lead it returns a NotLeaderError.
	LiftVerdict(ctx context.Context, suspect uint64) (bool, error)
}
