package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
)

// Guard makes a write conditional on a duty: it is checked when the record is applied, not before.
type Guard struct {
	Lease string `json:"duty"`
	Token uint64 `json:"token"`
}

// expiryGraceFraction is the part of a lease that the leader waits beyond its end. A holder counts from before it sent its
// renewal and stops a margin earlier (table.Margin); clocks of one kind differ by far less than a thousandth, so this
// covers what is between a reading of the clock and what is done by it.
const expiryGraceFraction = 0.05

// leaseTracker are the leader's: who of the holders and candidates was heard when, by the monotonic clock. A renewal is
// no write; a new leader gives all their full time again, and as a renewal counts only when its leadership was
// proved after it came, that is never less than an old leader has promised.
type leaseTracker struct {
	mu         sync.Mutex
	leases     map[string]map[string]*trackedLease // by duty and who
	holdDowns  map[string]map[string]*holdDown     // the same
	lastHeld   map[string]time.Time                // when a duty was last known to be held, for the time without a holder
	observeGap func(time.Duration)                 // told of each such time; nil: nobody
}

type trackedLease struct {
	token         uint64 // 0: a candidate
	ttl           time.Duration
	startedAt     time.Time
	startObserved bool // its beginning, by this leader
	renewedAt     time.Time
	acknowledged  bool // renewed by its holder, who works from then on
	expiryPending bool // its end is on the way into the log: it cannot be renewed any more
}

func newLeaseTracker() *leaseTracker {
	return &leaseTracker{leases: map[string]map[string]*trackedLease{}, holdDowns: map[string]map[string]*holdDown{}, lastHeld: map[string]time.Time{}}
}

// reset gives everyone the full time.
func (l *leaseTracker) reset(now time.Time, state *StateMachine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	empty := newLeaseTracker()
	l.leases, l.holdDowns, l.lastHeld = empty.leases, empty.holdDowns, empty.lastHeld
	for _, lease := range state.leases.Snapshot() {
		l.trackLocked(now, lease, false)
	}
}

// refresh takes over what became of a duty.
func (l *leaseTracker) refresh(now time.Time, state *StateMachine, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshLocked(now, state, name)
}

// refreshLocked is follow; the caller holds the lock.
func (l *leaseTracker) refreshLocked(now time.Time, state *StateMachine, name string) {
	current, ok := state.leases.Get(name)
	if !ok {
		return
	}
	for candidate, entry := range l.leases[name] {
		if entry.acknowledged && entry.token != current.Token && !entry.expiryPending { // released
			l.lastHeld[name] = now
			entry.acknowledged = false
		}
		if candidate != current.Holder && !slices.Contains(current.Queue, candidate) {
			delete(l.leases[name], candidate)
		}
	}
	l.trackLocked(now, &current, true)
}

// trackLocked begins the leases and waits that are not known, seen from their beginning or not; the caller holds the lock.
func (l *leaseTracker) trackLocked(now time.Time, current *leasetable.Lease, startObserved bool) {
	l.trackHoldDownsLocked(now, current)
	ttl := time.Duration(current.TTLMS) * time.Millisecond
	entries := l.leases[current.Name]
	if entries == nil {
		entries = map[string]*trackedLease{}
		l.leases[current.Name] = entries
	}
	track := func(candidate string, token uint64) {
		if existing := entries[candidate]; existing == nil || existing.token != token {
			entries[candidate] = &trackedLease{token: token, ttl: ttl, startedAt: now, startObserved: startObserved, renewedAt: now}
		}
	}
	if current.Holder != "" {
		track(current.Holder, current.Token)
	}
	for _, candidate := range current.Queue {
		track(candidate, 0)
	}
}

// renew extends a lease; false where there is none under the token.
func (l *leaseTracker) renew(now time.Time, state *StateMachine, name, candidate string, token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.leases[name][candidate]
	if entry == nil || entry.token != token { // the table may be ahead of what was followed
		l.refreshLocked(now, state, name)
		entry = l.leases[name][candidate]
	}
	if entry == nil || entry.expiryPending || entry.token != token {
		return false
	}
	if current, _ := state.leases.Get(name); token != 0 && !state.leases.TokenValid(name, token) || token == 0 && !slices.Contains(current.Queue, candidate) {
		return false
	}
	entry.renewedAt = now
	if token != 0 {
		if lastHeld, ok := l.lastHeld[name]; ok && !entry.acknowledged && l.observeGap != nil {
			l.observeGap(now.Sub(lastHeld))
		}
		entry.acknowledged, l.lastHeld[name] = true, now
	}
	return true
}

// heldFor is how long a duty has been held under its token, as far as this leader knows.
func (l *leaseTracker) heldFor(now time.Time, current *leasetable.Lease) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.leases[current.Name][current.Holder]; entry != nil && current.Holder != "" {
		return now.Sub(entry.startedAt)
	}
	return 0
}

// findExpired finds the leases that are over, and those that an earlier call found and that still stand.
func (l *leaseTracker) findExpired(now time.Time) []leasetable.Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []leasetable.Operation
	for name, entries := range l.leases {
		for candidate, entry := range entries {
			if now.Sub(entry.renewedAt) > entry.ttl+time.Duration(expiryGraceFraction*float64(entry.ttl)) {
				entry.expiryPending = true
				expired = append(expired, leasetable.Operation{Kind: leasetable.Expire, Name: name, Candidate: candidate, Token: entry.token, ShortTenure: entry.isShortTenure(now)})
			}
		}
	}
	slices.SortFunc(expired, func(a, b leasetable.Operation) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(b.Token, a.Token), strings.Compare(a.Candidate, b.Candidate))
	})
	return expired
}

// expireLeases ends the leases of duties that are over.
func (r *Replica) expireLeases() {
	for _, op := range r.leaseTracker.findExpired(time.Now()) {
		if _, err := r.propose(&Record{Op: OpLease, Lease: &op}); err != nil {
			return // found again, by this leader or the next
		}
		r.refreshLease(op.Name)
		slog.Info("lease of a duty ended", "duty", op.Name, "who", op.Candidate, "token", op.Token)
	}
}

func (r *Replica) refreshLease(name string) {
	r.hub.Read(func(state *StateMachine) { r.leaseTracker.refresh(time.Now(), state, name) })
}

// LeaseRequest is the body of a call about one duty.
type LeaseRequest struct {
	ID        string `json:"id"`
	Candidate string `json:"who"`
	Token     uint64 `json:"token"`
	TTLMS     int64  `json:"ttl_ms"`
	Successor string `json:"to"`
	Data      []byte `json:"data"`
}

func (r *Replica) serveLeaseOp(w http.ResponseWriter, httpRequest *http.Request) {
	var request LeaseRequest
	if !readJSON(w, httpRequest, &request) {
		return
	}
	op := leasetable.Operation{
		Kind: leasetable.OperationKind(httpRequest.PathValue("op")), Name: httpRequest.PathValue("name"), Candidate: request.Candidate, Token: request.Token, TTLMS: request.TTLMS,
		Successor: request.Successor, Data: request.Data,
	}
	err := op.Validate()
	if err == nil && op.Kind == leasetable.Expire {
		err = fieldErrorf("op", "only the leader finds that a lease has ended")
	}
	if err == nil {
		err = checkWriteID(request.ID)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	switch op.Kind {
	case leasetable.Campaign:
		if !r.admitCandidate(op.Name, op.Candidate) {
			r.writeLease(w, op.Name)
			return
		}
	case leasetable.Release:
		op.ShortTenure = r.leaseTracker.isShortTenure(time.Now(), op.Name, op.Candidate, op.Token)
	}
	result, err := r.propose(&Record{Op: OpLease, ID: request.ID, Lease: &op})
	if err != nil {
		r.writeNoLeader(w)
		return
	}
	r.refreshLease(op.Name)
	if result.Outcome != OutcomeDone {
		statusCodes := map[Outcome]int{OutcomeConflict: http.StatusConflict, OutcomeNotFound: http.StatusNotFound, OutcomeLimitExceeded: http.StatusInsufficientStorage}
		writeJSON(w, statusCodes[result.Outcome], result)
		return
	}
	r.writeLease(w, op.Name)
}

func (r *Replica) writeLease(w http.ResponseWriter, name string) {
	var current leasetable.Lease
	var ok bool
	r.hub.Read(func(state *StateMachine) { current, ok = state.leases.Get(name) })
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Errorf("there is no duty %s", name))
		return
	}
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, current)
}

func (r *Replica) serveLease(w http.ResponseWriter, request *http.Request) {
	if r.ensureFresh(w, request) {
		r.writeLease(w, request.PathValue("name"))
	}
}

// LeaseRenewal asks for more time, as a holder under its token or as a candidate under none.
type LeaseRenewal struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
}

func (r *Replica) serveRenewLeases(w http.ResponseWriter, request *http.Request) {
	var renewal struct {
		Candidate string         `json:"who"`
		Leases    []LeaseRenewal `json:"duties"`
	}
	if !readJSON(w, request, &renewal) {
		return
	}
	if renewal.Candidate == "" || len(renewal.Leases) == 0 || len(renewal.Leases) > leasetable.MaxLeases {
		writeError(w, http.StatusBadRequest, fieldErrorf("duties", "%d entries of %q", len(renewal.Leases), renewal.Candidate))
		return
	}
	// Proved after the call came: a leader that others have replaced meanwhile must promise nothing.
	ctx, cancel := context.WithTimeout(request.Context(), applyTimeout)
	defer cancel()
	if r.awaitReadIndex(ctx) != nil {
		r.writeNoLeader(w)
		return
	}
	lost := []string{}
	r.hub.Read(func(state *StateMachine) {
		for _, lease := range renewal.Leases {
			if !r.leaseTracker.renew(time.Now(), state, lease.Name, renewal.Candidate, lease.Token) {
				lost = append(lost, lease.Name)
			}
		}
	})
	writeJSON(w, http.StatusOK, map[string][]string{"lost": lost})
}

// serveLeases lists all duties, or follows one of them: a line for each of its changes, an empty one every 2 s.
func (r *Replica) serveLeases(w http.ResponseWriter, request *http.Request) {
	name := request.URL.Query().Get("watch")
	if name == "" {
		if !r.ensureFresh(w, request) {
			return
		}
		var list []*leasetable.Lease
		r.hub.Read(func(state *StateMachine) { list = state.leases.Snapshot() })
		r.setFreshnessHeaders(w)
		writeJSON(w, http.StatusOK, list)
		return
	}
	if !r.admitWatcher(w) {
		return
	}
	defer r.watchers.Add(-1)
	w.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(w)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for sentRevision, first := uint64(0), true; ; first = false {
		current, changed := r.hub.Lease(name)
		if current.Revision > sentRevision || first {
			sentRevision = current.Revision
			current.Name = name
			data, err := json.Marshal(current)
			if err != nil || writeLines(w, controller, [][]byte{append(data, '\n')}) != nil {
				return
			}
		}
		select {
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
			if r.listAge() < staleAfter && writeLines(w, controller, [][]byte{{'\n'}}) != nil {
				return
			}
		}
	}
}

// UpdateLease makes one call about a duty and returns it as it then is.
func (c *Client) UpdateLease(ctx context.Context, kind leasetable.OperationKind, name string, request LeaseRequest) (leasetable.Lease, error) {
	if request.ID == "" {
		request.ID = NewID()
	}
	var lease leasetable.Lease
	return lease, c.post(ctx, "/duties/"+url.PathEscape(name)+"/"+string(kind), request, &lease)
}

// Lease reads a duty, as the leader has it.
func (c *Client) Lease(ctx context.Context, name string) (leasetable.Lease, error) {
	var lease leasetable.Lease
	return lease, c.call(ctx, http.MethodGet, "/duties/"+url.PathEscape(name)+"?fresh=1", nil, &lease)
}

// Leases lists them, as the leader has them.
func (c *Client) Leases(ctx context.Context) ([]leasetable.Lease, error) {
	var list []leasetable.Lease
	return list, c.call(ctx, http.MethodGet, "/duties?fresh=1", nil, &list)
}

// RenewLeases asks for more time for duties that who holds or waits for, and returns those that it has lost.
func (c *Client) RenewLeases(ctx context.Context, candidate string, renewals []LeaseRenewal) ([]string, error) {
	var response struct {
		Lost []string `json:"lost"`
	}
	return response.Lost, c.post(ctx, "/duties/renew", map[string]any{"who": candidate, "duties": renewals}, &response)
}

// WatchLease calls do with a duty as it is and after each change, going from replica to replica until ctx ends. An
// older state than one told before is left out.
func (c *Client) WatchLease(ctx context.Context, name string, notify func(leasetable.Lease)) error {
	newestRevision, started := uint64(0), false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		current := c.current.Load()
		err := c.watchLeaseOn(ctx, c.replicas[int(current)%len(c.replicas)], name, func(lease leasetable.Lease) {
			backoff = initialBackoff
			if lease.Revision > newestRevision || !started {
				newestRevision, started = lease.Revision, true
				notify(lease)
			}
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		slog.Debug("watch of a duty moves on", "duty", name, "error", err)
		c.current.CompareAndSwap(current, current+1)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
	}
}

func (c *Client) watchLeaseOn(ctx context.Context, replica, name string, notify func(leasetable.Lease)) error {
	watchURL := "http://" + replica + "/duties?watch=" + url.QueryEscape(name)
	return c.streamLines(ctx, watchURL, func(http.Header) {}, func(data []byte) error {
		if len(data) == 0 {
			return nil
		}
		var lease leasetable.Lease
		if err := json.Unmarshal(data, &lease); err != nil {
			return fmt.Errorf("watch of duty %s: %w", name, err)
		}
		notify(lease)
		return nil
	})
}
