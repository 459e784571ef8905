// Command standin plays one of the cases in the folder review: it starts the processes of a small deployment with the commands of the
// deploy file, stands in for the platform, the engines and the callers on loopback addresses, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main
