// Package service is a client of plain services. It sends each call at most once.
package service
