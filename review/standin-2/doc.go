// Command standin-2 plays a case of the second review: it starts the processes under test with stand-ins of callers, engines, operator and
// platform around them, and checks a rule by what these see.
package main
