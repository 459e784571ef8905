package deck

// A Peer is a VM of the system as the settings list it.
type Peer struct {
	Name       VMName
	DataCentre DataCentre
	Region     Region
	Address    string // host:port of the peers' listener, by IP number
	Control    bool   // it holds a replica of the replicated log
}
