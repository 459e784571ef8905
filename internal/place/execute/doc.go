// Package execute moves the engines of one data centre towards the plan's target, by operations each of which is safe on its
// own.
package execute
