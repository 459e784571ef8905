// Package part holds what processes of every kind are assembled from: listeners, goroutines and clients.
package part
