package deck

import "time"

// A ServerNotice is what a backend server says in an answer about the requests that it takes. The zero value says nothing.
type ServerNotice struct {
	Leaving bool          // the server stops soon and takes no new requests
	Pause   time.Duration // for which it takes no requests from this VM; 0 for none
	Limited bool
	Limit   float64 // requests a second that it takes from all VMs together, if Limited

	// SentAt is when the request was sent that the answer is to. Zero for an answer that says nothing if it names no limit, such as one
	// to a liveness check.
	SentAt time.Time
}

// A LeavingServer is one incarnation of a backend server that has said that it leaves.
type LeavingServer struct {
	Server      BackendName
	Incarnation string
}

// A NoticeObserver receives what backend servers say about the requests that they take.
type NoticeObserver interface {
	// ObserveNotice takes a notice in an answer of the given incarnation of a server, and its time of arrival.
	ObserveNotice(now time.Time, s BackendName, incarnation string, n ServerNotice)
}
