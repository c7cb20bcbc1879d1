package verifier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pomelotiller/internal/daemon/informer"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/reserver"
)

const (
	// failureDetectionLimit bounds the time until all daemons see a dead one as gone: 2 s without
	// heartbeats, 3 s in which it may refute the suspicion, and the time to spread the result.
	failureDetectionLimit = 8 * time.Second
	// propagationLimit bounds the time until a published configuration is in force at all daemons.
	propagationLimit = 4 * time.Second
	// rejoinLimit bounds the time until all daemons see the ones that were partitioned or paused as
	// alive again.
	rejoinLimit = 10 * time.Second
)

var failureDomains = []string{"portland", "worcester", "hartford"}

// proxiedCluster is a cluster with a fault-injecting proxy in front of each daemon's peer address
// and another between each daemon and the store.
type proxiedCluster struct {
	*cluster
	storeLinks []*faulter.Link
	peerLinks  []*faulter.Link
	// peerAddresses are the addresses behind the peer links, from which the daemons send packets.
	peerAddresses []string
	overrides     []settingsOverrides
}

// newProxiedCluster starts n daemons in three failure domains, round-robin.
func newProxiedCluster(t testing.TB, n int) *proxiedCluster {
	t.Helper()
	w := &proxiedCluster{cluster: newCluster(t)}
	for range n {
		w.addDaemon()
	}
	w.awaitAliveMembers(n)
	return w
}

func (w *proxiedCluster) addDaemon() {
	w.t.Helper()
	source := reserver.MustAddress(w.t)
	store, peers := w.openLink("tcp", w.platformAddress), w.openLink("udp", source)
	w.storeLinks, w.peerLinks, w.peerAddresses = append(w.storeLinks, store), append(w.peerLinks, peers), append(w.peerAddresses, source)
	w.overrides = append(w.overrides, settingsOverrides{
		platformAddress: store.Address(), peerAddress: source, extraSettings: "advertise: " + peers.Address() + "\n",
	})
	w.startOrRestart(len(w.overrides) - 1)
}

// startOrRestart starts daemon i, or starts it again with the same options.
func (w *proxiedCluster) startOrRestart(i int) {
	w.t.Helper()
	d := w.startDaemon(fmt.Sprintf("entry-%d", i), failureDomains[i%len(failureDomains)], w.overrides[i])
	w.seeds[len(w.seeds)-1] = w.peerLinks[i].Address()
	if len(w.daemons) > len(w.overrides) {
		w.daemons[i] = d
		w.daemons = w.daemons[:len(w.overrides)]
	}
}

// isolateDomain drops all packets between the daemons of a failure domain and the other daemons.
func (w *proxiedCluster) isolateDomain(domain string) {
	var inside, outside []string
	for i, d := range w.daemons {
		if d.domain == domain {
			inside = append(inside, w.peerAddresses[i])
		} else {
			outside = append(outside, w.peerAddresses[i])
		}
	}
	for i, d := range w.daemons {
		others := inside
		if d.domain == domain {
			others = outside
		}
		w.peerLinks[i].Set(faulter.Behaviour{Mode: faulter.ModeBlackhole, Clients: others})
	}
}

// healPeerLinks ends the faults of all links between daemons.
func (w *proxiedCluster) healPeerLinks() {
	for _, l := range w.peerLinks {
		l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	}
}

func (w *proxiedCluster) awaitAliveMembers(n int) {
	w.t.Helper()
	for _, d := range w.daemons {
		eventually(w.t, startTimeout, fmt.Sprintf("%d members alive at %s", n, d.name), func() bool {
			alive := 0
			for _, m := range d.listMembers(w.t) {
				if m.State == viewer.StateAlive {
					alive++
				}
			}
			return alive == n
		})
	}
}

func (d *daemon) listMembers(t testing.TB) []viewer.Member {
	return getJSON[[]viewer.Member](t, d.operatorAddress, "/members")
}

// findMember returns a daemon's entry for the named member, or an empty one.
func (d *daemon) findMember(t testing.TB, name string) viewer.Member {
	for _, m := range d.listMembers(t) {
		if m.Name == name {
			return m
		}
	}
	return viewer.Member{}
}

// awaitMemberState waits until each of the given daemons sees a member in the wanted state.
func (w *proxiedCluster) awaitMemberState(limit time.Duration, name string, want viewer.State, at ...*daemon) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for _, d := range at {
		eventually(w.t, time.Until(end), fmt.Sprintf("%s %s at %s", name, want, d.name), func() bool {
			return d.findMember(w.t, name).State == want
		})
	}
}

// daemonsExcept returns all daemons but the given ones.
func (w *proxiedCluster) daemonsExcept(except ...*daemon) []*daemon {
	var out []*daemon
	for _, d := range w.daemons {
		skip := false
		for _, e := range except {
			skip = skip || d == e
		}
		if !skip {
			out = append(out, d)
		}
	}
	return out
}

func (d *daemon) generation(t testing.TB) uint64 { return d.findMember(t, d.name).Generation }

// awaitInForce waits until a generation is in force at each of the given daemons. It asks all at the
// same time, so that one that answers slowly takes no time from the others.
func (w *proxiedCluster) awaitInForce(limit time.Duration, generation uint64, at ...*daemon) {
	w.t.Helper()
	late := make([]string, len(at))
	var g sync.WaitGroup
	for i, d := range at {
		g.Go(func() { late[i] = d.pollGeneration(time.Now().Add(limit), generation) })
	}
	g.Wait()
	var failures []string
	for i, d := range at {
		if late[i] != "" {
			failures = append(failures, d.name+" "+late[i])
		}
	}
	if len(failures) > 0 {
		w.t.Fatalf("generation %d not in force within %s: %s", generation, limit, strings.Join(failures, ", "))
	}
}

// pollGeneration polls a daemon until it has a generation in force. At end it returns what the daemon
// answered last.
func (d *daemon) pollGeneration(end time.Time, generation uint64) string {
	last := "not asked"
	for ; time.Now().Before(end); time.Sleep(pollPeriod) {
		var members []viewer.Member
		_, b, err := tryRequest(http.MethodGet, "http://"+d.operatorAddress+"/members", nil, nil)
		if err == nil {
			err = json.Unmarshal(b, &members)
		}
		if err != nil {
			last = err.Error()
			continue
		}
		for _, m := range members {
			if m.Name != d.name {
				continue
			}
			if last = fmt.Sprint("has generation ", m.Generation); m.Generation == generation {
				return ""
			}
		}
	}
	return last
}

// numberedConfig returns testConfig with a comment line that makes its text unique.
func numberedConfig(n int) string { return testConfig() + fmt.Sprintf("# %d\n", n) }

// tryPublish runs the publish command at a daemon and returns the command's output.
func (w *proxiedCluster) tryPublish(d *daemon, text string, from uint64) (string, error) {
	path := filepath.Join(w.t.TempDir(), "set.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	out, err := exec.Command(filepath.Join(binaryDir, "pomelotiller"), "publish", "-a", d.operatorAddress,
		"--generation", fmt.Sprint(from), path).CombinedOutput()
	return string(out), err
}

// publishNext publishes through a daemon and returns the new generation.
func (w *proxiedCluster) publishNext(d *daemon, text string) uint64 {
	w.t.Helper()
	from := d.generation(w.t)
	out, err := w.tryPublish(d, text, from)
	if err != nil {
		w.t.Fatalf("publish: %v\n%s", err, out)
	}
	var generation uint64
	if _, err := fmt.Sscan(strings.TrimPrefix(strings.TrimSpace(out), "GENERATION"), &generation); err != nil {
		w.t.Fatalf("publish: no generation in %q", out)
	}
	return generation
}

func (d *daemon) configStatus(t testing.TB) informer.ConfigStatus {
	return getJSON[informer.ConfigStatus](t, d.operatorAddress, "/config/status")
}
