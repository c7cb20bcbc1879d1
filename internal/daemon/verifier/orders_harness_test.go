package verifier

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/recorder"
)

const orderTimeout = 25 * time.Second

// orderRoutes adds two service routes to testConfig: one without status look-up (ledger) and an
// idempotent one (quote).
const orderRoutes = `  - name: ledger
    kind: service
    versions: [{version: desk-v1, share: 100}]
  - name: quote
    kind: service
    versions: [{version: desk-v1, share: 100}]
    idempotent: true
`

// orderCluster is a cluster whose endpoints are services that process orders.
type orderCluster struct {
	*cluster
	serviceAddresses []string
}

// newOrderCluster starts up to three daemons, each in another failure domain. If platform is set,
// the daemons use the address that it returns for the platform.
func newOrderCluster(t testing.TB, daemons int, platform func(*cluster) string) *orderCluster {
	t.Helper()
	d := &orderCluster{cluster: newCluster(t)}
	var o settingsOverrides
	if platform != nil {
		o.platformAddress = platform(d.cluster)
	}
	for _, domain := range []string{"portland", "worcester", "hartford"}[:daemons] {
		d.startDaemon("entry-"+domain, domain, o)
	}
	d.publishConfig(d.daemons[0], testConfig()+orderRoutes)
	d.awaitGeneration(1)
	return d
}

// startAndAwaitService starts a service and waits until all daemons see it as alive.
func (d *orderCluster) startAndAwaitService(name string, args ...string) *process {
	d.t.Helper()
	p, addr := d.startService(name, "portland", args...)
	d.serviceAddresses = append(d.serviceAddresses, addr)
	d.awaitServiceState(name, "alive")
	return p
}

func (d *orderCluster) awaitServiceState(name, state string) {
	d.t.Helper()
	for _, entry := range d.daemons {
		eventually(d.t, startTimeout, fmt.Sprintf("%s %s at %s", name, state, entry.name), func() bool {
			if entry.hasEnded() {
				return true
			}
			status, b, err := tryRequest(http.MethodGet, "http://"+entry.operatorAddress+"/endpoints", nil, nil)
			return err == nil && status == http.StatusOK && bytes.Contains(b, []byte(name)) && bytes.Contains(b, []byte(state))
		})
	}
}

// markServiceLeaving marks a service as leaving on the host list and waits until all daemons see it.
func (d *orderCluster) markServiceLeaving(name, address string) {
	d.t.Helper()
	d.putHost(lister.Host{
		Name: name, Domain: "portland", Pool: "portland-desk", Role: lister.RoleService, Address: address, State: lister.StateLeaving,
	})
	d.awaitServiceState(name, "leaving")
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// runCount returns how often the services ran the order with a key, summed over all services.
func (d *orderCluster) runCount(key string) int {
	d.t.Helper()
	n := 0
	for _, addr := range d.serviceAddresses {
		n += getJSON[map[string]int](d.t, addr, "/runs")[key]
	}
	return n
}

// orderReply is a daemon's answer to a posted order.
type orderReply struct {
	status   int
	location string
	body     []byte
	err      error
}

// postOrder posts an order with the body "lamps" and waits for the answer.
func postOrder(d *daemon, route, key, prefer string) orderReply {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+"/services/"+route+"/orders", bytes.NewReader([]byte("lamps")))
	if err != nil {
		return orderReply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if prefer != "" {
		req.Header.Set("Prefer", prefer)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}).Do(req)
	if err != nil {
		return orderReply{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return orderReply{status: res.StatusCode, location: res.Header.Get("Location"), body: b, err: err}
}

// postUntilAccepted posts an order until a daemon accepts it. It fails the test on any answer but
// 202 and refusals that report the order as not run.
func (d *orderCluster) postUntilAccepted(entry *daemon, route, key string) {
	d.t.Helper()
	eventually(d.t, orderTimeout, key+" accepted at "+entry.name, func() bool {
		r := postOrder(entry, route, key, "respond-async")
		if r.err != nil || r.status != http.StatusAccepted && !bytes.Contains(r.body, []byte(`"not-run"`)) {
			d.t.Fatalf("got status %d: %s (%v) for %s, want 202 or not-run", r.status, r.body, r.err, key)
		}
		return r.status == http.StatusAccepted
	})
}

// postInBackground posts an order in a goroutine and returns a channel for its answer.
func postInBackground(d *daemon, route, key, prefer string) <-chan orderReply {
	c := make(chan orderReply, 1)
	go func() { c <- postOrder(d, route, key, prefer) }()
	return c
}

// orderView is the JSON that a daemon returns for an order.
type orderView struct {
	State  recorder.State   `json:"state"`
	Run    string           `json:"run"`
	Answer *recorder.Answer `json:"answer"`
	Reason string           `json:"reason"`
}

func readOrder(d *daemon, location string) (orderView, error) {
	var v orderView
	status, b, err := tryRequest(http.MethodGet, "http://"+d.callerAddress+location, nil, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, b)
	}
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(b, &v)
}

// awaitOrderState waits until every daemon that still runs shows an order in the wanted state.
func (d *orderCluster) awaitOrderState(location string, want recorder.State) orderView {
	d.t.Helper()
	var got orderView
	for _, entry := range d.daemons {
		if entry.hasEnded() {
			continue
		}
		var err error
		for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(5 * pollPeriod) {
			if got, err = readOrder(entry, location); err == nil && got.State == want {
				break
			}
		}
		if err != nil || got.State != want {
			d.t.Fatalf("got order %+v (%v) at %s, want state %s", got, err, entry.name, want)
		}
	}
	return got
}

func (d *orderCluster) awaitRun(key string) {
	d.t.Helper()
	eventually(d.t, startTimeout, "run of "+key, func() bool { return d.runCount(key) > 0 })
}

// storedOrderKeys returns the store keys of all order records and journals, including deleted ones.
// It reads only these prefixes since daemons also renew their duties in the store.
func (d *orderCluster) storedOrderKeys() []string {
	d.t.Helper()
	c := storer.NewClient(storer.ClientConfig{Address: d.platformAddress, WatchWait: time.Millisecond})
	var keys []string
	for _, prefix := range []string{recorder.KeyPrefix, recorder.JournalPrefix} {
		p, err := c.Watch(d.t.Context(), prefix, 0)
		if err != nil {
			d.t.Fatal(err)
		}
		for _, e := range p.Entries {
			keys = append(keys, e.Key)
		}
	}
	return keys
}
