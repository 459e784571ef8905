// Package admit decides which waiting request starts next, and which is refused early.
package admit
