package deck

import "time"

// maxClockError is how far a server's clock may be ahead of this VM's.
const maxClockError = time.Hour

// DistinctServers returns a list of servers with one entry for each ID, in the order of the list. An ID may be listed twice for a while if
// a server has started again, and for longer if another writer uses it. The incarnation that started last counts, unless its start is in the
// future; of entries with the same start the one at the address that the earlier list has, or else the first.
func DistinctServers(now time.Time, list, earlier []Server) []Server {
	known := make(map[BackendName]string, len(earlier))
	for _, s := range earlier {
		known[s.ID] = s.Address
	}
	latest := now.Add(maxClockError).UnixMilli()
	position := make(map[BackendName]int, len(list))
	distinct := make([]Server, 0, len(list))
	for _, s := range list {
		i, listed := position[s.ID]
		switch {
		case !listed:
			position[s.ID] = len(distinct)
			distinct = append(distinct, s)
		case replaces(s, distinct[i], latest, known[s.ID]):
			distinct[i] = s
		}
	}
	return distinct
}

// replaces reports whether s counts rather than another entry with its ID that is listed before it.
func replaces(s, other Server, latestUnixMs int64, knownAddress string) bool {
	start, otherStart := s.StartUnixMs, other.StartUnixMs
	if start > latestUnixMs {
		start = 0
	}
	if otherStart > latestUnixMs {
		otherStart = 0
	}
	if start != otherStart {
		return start > otherStart
	}
	return s.Address == knownAddress && other.Address != knownAddress
}
