package deck

// A Peer is a VM of the system as the settings list it.
type Peer struct {
	Name       VMName
	DataCentre DataCentre
	Region     Region
	Address    string // IP:port of the listener for peers
	Control    bool   // the VM holds a replica of the replicated log
}
