package headervalue

import "testing"

func TestFlag(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		set     bool
		invalid bool
	}{
		"none":          {nil, false, false},
		"one":           {[]string{"1"}, true, false},
		"spaces":        {[]string{" 1 "}, true, false},
		"twice":         {[]string{"1", "1"}, true, false},
		"zero":          {[]string{"0"}, false, true},
		"word":          {[]string{"true"}, false, true},
		"empty":         {[]string{""}, false, true},
		"contradictory": {[]string{"1", "0"}, false, true},
	} {
		if set, invalid := Flag(c.values); set != c.set || (invalid != "") != c.invalid {
			t.Errorf("%s: set %v, invalid %q", name, set, invalid)
		}
	}
}

func TestCount(t *testing.T) {
	for _, c := range []struct {
		values  []string
		count   int
		invalid bool
	}{
		{nil, 0, false}, {[]string{"2"}, 2, false}, {[]string{" 7 "}, 7, false},
		{[]string{"0"}, 0, true}, {[]string{"-1"}, 0, true}, {[]string{"1.5"}, 0, true}, {[]string{"1", "1"}, 0, true}, {[]string{"99999999999999999999"}, 0, true}, {[]string{""}, 0, true},
	} {
		if count, invalid := Count(c.values); count != c.count || (invalid != "") != c.invalid {
			t.Errorf("%q: %d, %q", c.values, count, invalid)
		}
	}
}
