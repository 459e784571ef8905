// Package distribution measures how tickets spread through the feed and what the shared state costs.
package distribution
