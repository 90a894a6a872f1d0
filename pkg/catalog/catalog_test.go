package catalog

import "testing"

func routes() *Catalog {
	return New(Contents{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "A.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
}

func TestTheLongestPrefixDecides(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:8080", "/x/yy", "short"},
		{"A.EXAMPLE", "/x/", "short"},
		{"a.example", "/x", "all"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if route := routes().Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s went to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestSharesFollowTheirWeights(t *testing.T) {
	route := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[string(route.Target(float64(i)/1000))]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Errorf("shares of 90, 10 and 0 got %v", counts)
	}
	if got := (&Route{}).Target(0.5); got != "" {
		t.Errorf("a route without services goes to %q", got)
	}
}

func TestOnlyIdempotentAndResumableMayBeRepeated(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Once}, false},
		{Route{Kind: Once, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%+v: repeatable %v", c.route, got)
		}
	}
}
