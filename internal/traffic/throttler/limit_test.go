package throttler

import "testing"

// A limit that an endpoint names must be read as it is meant, and one that cannot be read must not be taken
// for the end of the limit.
func TestRequestLimit(t *testing.T) {
	named := func(n float64) Limit {
		return Limit{State: StateNamed, PerSecond: n}
	}
	malformed := Limit{State: StateMalformed}
	for _, tc := range []struct {
		values []string
		want   Limit
	}{
		{nil, Limit{}},
		{[]string{"1.9"}, named(1.9)},
		{[]string{" 2 "}, named(2)},
		{[]string{"0"}, named(0)},
		{[]string{"1e300"}, named(1e300)},
		{[]string{"3", "2.5"}, named(2.5)},
		{[]string{"x", "2.5", "-1"}, named(2.5)},
		{[]string{"-1"}, malformed},
		{[]string{"NaN"}, malformed},
		{[]string{"Inf"}, malformed},
		{[]string{""}, malformed},
	} {
		if got := ParseLimit(tc.values); got != tc.want {
			t.Errorf("values %q: got %+v, want %+v", tc.values, got, tc.want)
		}
	}
}
