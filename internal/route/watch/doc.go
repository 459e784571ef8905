// Package watch polls load reports and prefix-cache events from the engines that an entry VM may route to.
package watch
