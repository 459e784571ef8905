package process

// Names under which services are registered in the kernel.
const (
	nameMetrics            = "metrics"
	nameLog                = "replicated-log"
	nameCommands           = "commands"
	nameFeed               = "feed"
	nameStateFile          = "state-file"
	nameProver             = "freshness"
	nameLease              = "placement-lease"
	nameResidency          = "residency"
	nameResidencyPublisher = "residency-publisher"
	namePlacement          = "placement"
	nameLoadShares         = "load-shares"
	nameDemand             = "demand"
	namePlatformVMs        = "platform-vms"
	nameEngines            = "engines"
	nameRouter             = "router"
	namePoller             = "engine-reports"
	nameCallers            = "callers"
	nameOperatorAPI        = "system"
	nameBurn               = "burn"
	nameReadiness          = "readiness"
	nameRequestRecorder    = "served"
)
