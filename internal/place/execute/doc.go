// Package execute brings the engines of one data centre to the local plan by operations that are each safe by itself.
package execute
