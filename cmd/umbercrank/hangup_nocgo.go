//go:build !cgo

package main

import _ "github.com/umbercrank/umbercrank/cmd/umbercrank/internal/hangup"
