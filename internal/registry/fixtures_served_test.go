package registry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/internal/goldentest"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// bodyRecorder is the http.ResponseWriter of a watch. It ignores deadlines and keeps everything that is written.
type bodyRecorder struct {
	mu     sync.Mutex
	header http.Header
	body   bytes.Buffer
}

func newBodyRecorder() *bodyRecorder { return &bodyRecorder{header: http.Header{}} }

func (r *bodyRecorder) Header() http.Header { return r.header }

func (r *bodyRecorder) WriteHeader(int) {}

func (r *bodyRecorder) SetWriteDeadline(time.Time) error { return nil }

func (r *bodyRecorder) Flush() {}

func (r *bodyRecorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.Write(data)
}

// take returns the bytes that were written since the last call of take.
func (r *bodyRecorder) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.body.Reset()
	return r.body.String()
}

// servedLog returns log entries that cause watch events. The time nowMS is by the clock of a synctest bubble.
func servedLog(nowMS int64) []logEntry {
	guard := &registry.Guard{Lease: "spread", Token: 5}
	records := []struct {
		name   string
		record registry.Record
	}{
		{"epoch", registry.Record{Op: registry.OpEpoch, Epoch: 4_503_599_627_370_495}},
		{"register", registry.Record{Op: registry.OpRegister, Instances: []registry.Instance{
			fixtureInstance("s1", "z1", 1, 9001), fixtureInstance("s2", "z2", 1, 9002)}}},
		{"state", registry.Record{Op: registry.OpSetState, State: registry.InstanceTerminating, Refs: []registry.InstanceRef{{UID: "s1"}}}},
		{"lease", registry.Record{Op: registry.OpLease, Lease: &leasetable.Operation{Kind: leasetable.Campaign, Name: "spread", Candidate: "one", TTLMS: 5000}}},
		{"placement", registry.Record{Op: registry.OpPlacement, Guard: guard, Placement: &placement.Op{LeaderTimeMS: nowMS, Set: []placement.Directive{
			{ID: "spread/0123456789abcdef", Kind: placement.KindSpreadKey, KeyHash: "0123456789abcdef", ExpiresAtMS: nowMS + 60_000, Copies: []placement.KeyCopy{{ServerUID: "s1", LoadFraction: 0.25}}},
			{ID: "spread/fedcba9876543210", Kind: placement.KindSpreadKey, KeyHash: "fedcba9876543210", ExpiresAtMS: nowMS + 90_000, Copies: []placement.KeyCopy{{ServerUID: "s2"}}},
		}}}},
		{"suspect", registry.Record{Op: registry.OpSuspect, Refs: []registry.InstanceRef{{UID: "s2"}}, Suspected: true}},
		{"register-batch", registry.Record{Op: registry.OpRegister, Instances: []registry.Instance{
			fixtureInstance("s3", "z1", 2, 9003), fixtureInstance("s4", "z2", 2, 9004)}}},
		{"placement-drop", registry.Record{Op: registry.OpPlacement, Guard: guard, Placement: &placement.Op{LeaderTimeMS: nowMS, Delete: []string{"spread/fedcba9876543210"}}}},
		{"deregister", registry.Record{Op: registry.OpDeregister, Refs: []registry.InstanceRef{{UID: "s1"}}}},
	}
	var log []logEntry
	for n, r := range records {
		log = append(log, logEntry{r.name, uint64(n) + 2, r.record})
	}
	return log
}

// TestServedBodies compares the bytes of the list, the placement and their watches, as they are served, with golden files.
func TestServedBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := registry.NewHub()
		feed := registry.NewPlacementFeed(func(after, epoch uint64) (list placement.Update) {
			hub.Read(func(state *registry.StateMachine) {
				list = state.Placement().ChangesSince(after, epoch, time.Now().Add(50*time.Millisecond).UnixMilli())
			})
			return list
		})
		ctx, cancel := context.WithCancel(t.Context())
		var watchers sync.WaitGroup
		defer watchers.Wait()
		defer cancel()
		watch := func(stream func(context.Context, http.ResponseWriter, *http.Request, uint64, uint64, func() bool) error, after, epoch uint64) *bodyRecorder {
			recorder := newBodyRecorder()
			request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
			watchers.Go(func() {
				if err := stream(ctx, recorder, request, after, epoch, func() bool { return true }); err != nil {
					t.Error(err)
				}
			})
			return recorder
		}
		list, entries := watch(hub.Watch, 0, 0), watch(feed.Watch, 0, 0)
		var out strings.Builder
		recordBody := func(label string, recorder *bodyRecorder) { fmt.Fprintf(&out, "# %s\n%s", label, recorder.take()) }
		synctest.Wait()
		recordBody("list watch, empty", list)
		recordBody("placement watch, empty", entries)
		for _, entry := range servedLog(time.Now().UnixMilli()) {
			if _, err := hub.Apply(entry.index, &entry.record); err != nil {
				t.Fatal(err)
			}
			feed.Notify()
			time.Sleep(100 * time.Millisecond) // by the bubble's clock, longer than the delay after which watchers are woken together
			synctest.Wait()
			recordBody("list watch after "+entry.name, list)
			recordBody("placement watch after "+entry.name, entries)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		recordBody("list watch, heartbeat", list)
		recordBody("placement watch, heartbeat", entries)

		var epoch uint64
		hub.Read(func(state *registry.StateMachine) { epoch = state.Epoch() })
		for _, cursor := range []struct {
			name         string
			after, epoch uint64
		}{
			{"from nothing", 0, 0}, {"from revision 3", 3, epoch}, {"from a revision between changes", 5, epoch},
			{"from the newest revision", 10, epoch}, {"from another epoch", 3, 9}, {"without an epoch", 3, 0},
		} {
			late, lateEntries := watch(hub.Watch, cursor.after, cursor.epoch), watch(feed.Watch, cursor.after, cursor.epoch)
			synctest.Wait()
			recordBody("list watch "+cursor.name, late)
			recordBody("placement watch "+cursor.name, lateEntries)
		}
		for name, write := range map[string]func(http.ResponseWriter) error{"list.json": hub.WriteCompleteList, "placement.json": feed.WriteComplete} {
			recorder := newBodyRecorder()
			if err := write(recorder); err != nil {
				t.Fatal(err)
			}
			goldentest.Compare(t, name, []byte(recorder.take()))
		}
		goldentest.Compare(t, "watch.txt", []byte(out.String()))
	})
}
