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

func TestMatchPrefersLongestPrefix(t *testing.T) {
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

func TestPickTargetFollowsWeights(t *testing.T) {
	route := Route{Targets: []WeightedTarget{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[string(route.PickTarget(float64(i)/1000))]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Errorf("weights of 90, 10 and 0 got %v", counts)
	}
	if got := (&Route{}).PickTarget(0.5); got != "" {
		t.Errorf("a route without services goes to %q", got)
	}
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: AtMostOnce}, false},
		{Route{Kind: AtMostOnce, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%+v: repeatable %v", c.route, got)
		}
	}
}
