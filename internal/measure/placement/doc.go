// Package placement measures the production placement planner and controller in virtual time, against a greedy and a static
// policy, and the time and memory that the planner takes.
package placement
