// Package execute moves the engines of one data centre towards the plan's target, by operations each of which is safe on its
// own. Package command/process uses it, with plan and memory; package command/node uses package order instead.
package execute
