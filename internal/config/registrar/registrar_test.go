package registrar

import (
	"fmt"
	"testing"
)

func TestRouteByLongestPrefix(t *testing.T) {
	c := Catalog{Routes: []Route{
		{Name: "all", Host: "a", Prefix: "/"},
		{Name: "long", Host: "a", Prefix: "/x/y/"},
		{Name: "short", Host: "a", Prefix: "/x/"},
		{Name: "other", Host: "b", Prefix: "/x/"},
	}}.BuildIndexes()
	for _, tc := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "long"},
		{"a", "/x/yy", "short"},
		{"a", "/x", "all"},
		{"b", "/x/y/z", "other"},
		{"b", "/y/", ""},
		{"c", "/x/", ""},
	} {
		r, ok := c.Route(tc.host, tc.path)
		if r.Name != tc.want || ok != (tc.want != "") {
			t.Errorf("%s%s: got route %q (%t), want %q", tc.host, tc.path, r.Name, ok, tc.want)
		}
	}
}

func TestServiceByWeight(t *testing.T) {
	r := Route{Shares: []Share{{"old", 90}, {"new", 10}}}
	got := 0
	const n = 10000
	for i := range n {
		id := fmt.Sprint("request-", i)
		if r.ChooseService(id) != r.ChooseService(id) {
			t.Fatalf("request %s goes to two services", id)
		}
		if r.ChooseService(id) == "new" {
			got++
		}
	}
	if got < n*8/100 || got > n*12/100 {
		t.Errorf("got %d of %d requests at the new service, want about a tenth", got, n)
	}
	if s := (Route{}).ChooseService("a"); s != "" {
		t.Errorf("got service %q of a route without shares, want none", s)
	}
}

func TestOrganisationByKey(t *testing.T) {
	c := Catalog{Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}}}.BuildIndexes()
	if o, ok := c.OrganisationByKey("k2"); !ok || o.Name != "o" {
		t.Errorf("got %q (%t), want organisation o", o.Name, ok)
	}
	if _, ok := c.OrganisationByKey("k3"); ok {
		t.Error("got an organisation for an unknown key, want none")
	}
}
