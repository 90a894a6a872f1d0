//go:build cgo

package main

// The import makes the go command compile hangup.c.

import "C"
