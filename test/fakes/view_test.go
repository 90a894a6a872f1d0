package fakes_test

import (
	"github.com/umbercrank/umbercrank/pkg/membership"
	"github.com/umbercrank/umbercrank/test/fakes"
)

var _ membership.View = (*fakes.View)(nil)
