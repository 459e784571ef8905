// Package service is the HTTP client for plain services; it sends each call at most once.
package service
