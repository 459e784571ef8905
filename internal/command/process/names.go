package process

// Names under which services find each other in the kernel.
const (
	nameMetrics   = "metrics"
	nameNode      = "replicated-log"
	nameCommands  = "commands"
	nameFeed      = "feed"
	nameProver    = "freshness"
	nameLease     = "placement-lease"
	nameResidency = "residency"
	namePublisher = "residency-publisher"
	namePlacement = "placement"
	nameShares    = "load-shares"
	nameDemand    = "demand"
	nameVMs       = "platform-vms"
	nameEngines   = "engines"
	nameRouter    = "router"
	nameWatch     = "engine-reports"
	nameCallers   = "callers"
	nameSystem    = "system"
	nameBurn      = "burn"
	nameReadiness = "readiness"
	nameServed    = "served"
)
