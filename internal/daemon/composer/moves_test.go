package composer

import (
	"reflect"
	"testing"
	"time"

	"pomelotiller/internal/control/roller"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/memorizer"
)

// What daemons that start later learn of the releases must be that of the newest order, and an entry
// that cannot be read must not keep it from being written.
func TestHistoryInStore(t *testing.T) {
	store := memorizer.New(memorizer.Config{Now: time.Now})
	m := moveStateStore{Adapter{Store: store}}
	if _, err := store.Swap(t.Context(), storer.Write{Key: historyPrefix + "s", Value: []byte("not JSON"), ID: "w"}); err != nil {
		t.Fatal(err)
	}
	if _, ok, err := m.ReadHistory(t.Context(), "s"); ok || err != nil {
		t.Errorf("got a history: %t, error %v, want none for an entry that cannot be decoded", ok, err)
	}
	first := roller.History{Revision: 7, Release: "v2", InForce: []string{"v1"}, Unproved: []string{"v2"}}
	second := roller.History{Revision: 9, Release: "v1", InForce: []string{"v1"}, Unproved: []string{"v2"}}
	for _, tc := range []struct {
		name        string
		write, want roller.History
	}{
		{"the first order", first, first},
		{"a newer order", second, second},
		{"an older order", first, second},
		{"the same order by a daemon that knows the order before", roller.History{Revision: 9, Release: "v1", After: 7, InForce: []string{"v1"}}, roller.History{Revision: 9, Release: "v1", After: 7, InForce: []string{"v1"}}},
		{"the same order by another daemon", roller.History{Revision: 9, Release: "v1", InForce: []string{"v2"}}, roller.History{Revision: 9, Release: "v1", After: 7, InForce: []string{"v1"}}},
	} {
		got, err := m.WriteHistory(t.Context(), "s", tc.write)
		if err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: got %+v, error %v, want %+v", tc.name, got, err, tc.want)
		}
		if got, ok, err := m.ReadHistory(t.Context(), "s"); !ok || err != nil || !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: read %+v, found %t, error %v, want %+v", tc.name, got, ok, err, tc.want)
		}
	}
}
