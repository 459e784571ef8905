package deck

// A DemandReport is the demand that one entry VM counted since its previous message.
type DemandReport struct {
	VM     VMName
	Counts []ModelDemand
}

// A ModelDemand is the work that callers requested from one model.
type ModelDemand struct {
	Model    ModelName
	Requests int
	Tokens   int // prompt tokens that were computed and tokens that were generated
}

// A DemandSink receives the counts of the entry VMs.
type DemandSink interface {
	// AddDemand adds the counts of one message.
	AddDemand(d DemandReport)
}
