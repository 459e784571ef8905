// Package allowance keeps what all VMs together run for a customer within its allowance. The leader of the replicated log grants credit
// out of one token bucket for each customer; entry VMs spend it on calls, for a short time after they asked. A VM that can't reach a
// leader uses a small share that it was given before.
package allowance
