// Package watch polls the load reports and prefix-cache events of the engines that an entry VM watches.
package watch
