// Package placement measures placement policy in virtual time with the production planner and controller.
package placement
