package deck

// A Demand is what one entry VM counted since its previous message.
type Demand struct {
	VM     VMName
	Counts []ModelDemand
}

// A ModelDemand is the work that callers asked of one model.
type ModelDemand struct {
	Model    ModelName
	Requests int
	Tokens   int // prompt tokens that were computed and tokens that were generated
}

// A DemandSink takes the entry VMs' counts.
type DemandSink interface {
	// AddDemand counts a message once.
	AddDemand(d Demand)
}
