package deck

import "time"

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
	Trials   []uint64  // suspects with which this VM may send one request, to see whether they still crash servers
}
