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
