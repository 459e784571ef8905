// Package lease implements the placement lease of a data centre: voters, the holder and the runtime around them.
package lease
