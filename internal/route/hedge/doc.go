// Package hedge decides when a call whose answer is late is also sent to a second backend server.
package hedge
