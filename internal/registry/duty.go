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

	"milldeck/internal/duty/table"
)

// Guard makes a write conditional on a duty: it is checked when the record is applied, not before.
type Guard struct {
	Duty  string `json:"duty"`
	Token uint64 `json:"token"`
}

// dutyDrift is the part of a lease that the leader waits beyond its end. A holder counts from before it sent its
// renewal and stops a margin earlier (table.Margin); clocks of one kind differ by far less than a thousandth, so this
// covers what is between a reading of the clock and what is done by it.
const dutyDrift = 0.05

// dutyLeases are the leader's: who of the holders and candidates was heard when, by the monotonic clock. A renewal is
// no write; a new leader gives all their full time again, and as a renewal counts only when its leadership was
// proved after it came, that is never less than an old leader has promised.
type dutyLeases struct {
	mu   sync.Mutex
	of   map[string]map[string]*dutyLease // by duty and who
	down map[string]map[string]*holdDown  // the same
	held map[string]time.Time             // when a duty was last known to be held, for the time without a holder
	gap  func(time.Duration)              // told of each such time; nil: nobody
}

type dutyLease struct {
	token   uint64 // 0: a candidate
	ttl     time.Duration
	begun   time.Time
	seen    bool // its beginning, by this leader
	renewed time.Time
	taken   bool // renewed by its holder, who works from then on
	ending  bool // its end is on the way into the log: it cannot be renewed any more
}

func newDutyLeases() *dutyLeases {
	return &dutyLeases{of: map[string]map[string]*dutyLease{}, down: map[string]map[string]*holdDown{}, held: map[string]time.Time{}}
}

// reset gives everyone the full time.
func (l *dutyLeases) reset(now time.Time, s *State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := newDutyLeases()
	l.of, l.down, l.held = fresh.of, fresh.down, fresh.held
	for _, d := range s.duties.Snapshot() {
		l.put(now, d, false)
	}
}

// follow takes over what became of a duty.
func (l *dutyLeases) follow(now time.Time, s *State, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp(now, s, name)
}

// catchUp is follow; the caller holds the lock.
func (l *dutyLeases) catchUp(now time.Time, s *State, name string) {
	d, is := s.duties.Get(name)
	if !is {
		return
	}
	for who, e := range l.of[name] {
		if e.taken && e.token != d.Token && !e.ending { // released
			l.held[name] = now
			e.taken = false
		}
		if who != d.Holder && !slices.Contains(d.Queue, who) {
			delete(l.of[name], who)
		}
	}
	l.put(now, &d, true)
}

// put begins the leases and waits that are not known, seen from their beginning or not; the caller holds the lock.
func (l *dutyLeases) put(now time.Time, d *table.Lease, seen bool) {
	l.putDown(now, d)
	ttl := time.Duration(d.TTLMS) * time.Millisecond
	of := l.of[d.Name]
	if of == nil {
		of = map[string]*dutyLease{}
		l.of[d.Name] = of
	}
	begin := func(who string, token uint64) {
		if old := of[who]; old == nil || old.token != token {
			of[who] = &dutyLease{token: token, ttl: ttl, begun: now, seen: seen, renewed: now}
		}
	}
	if d.Holder != "" {
		begin(d.Holder, d.Token)
	}
	for _, who := range d.Queue {
		begin(who, 0)
	}
}

// renew extends a lease; false where there is none under the token.
func (l *dutyLeases) renew(now time.Time, s *State, name, who string, token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.of[name][who]
	if e == nil || e.token != token { // the table may be ahead of what was followed
		l.catchUp(now, s, name)
		e = l.of[name][who]
	}
	if e == nil || e.ending || e.token != token {
		return false
	}
	if d, _ := s.duties.Get(name); token != 0 && !s.duties.TokenValid(name, token) || token == 0 && !slices.Contains(d.Queue, who) {
		return false
	}
	e.renewed = now
	if token != 0 {
		if since, known := l.held[name]; known && !e.taken && l.gap != nil {
			l.gap(now.Sub(since))
		}
		e.taken, l.held[name] = true, now
	}
	return true
}

// age is how long a duty has been held under its token, as far as this leader knows.
func (l *dutyLeases) age(now time.Time, d *table.Lease) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.of[d.Name][d.Holder]; e != nil && d.Holder != "" {
		return now.Sub(e.begun)
	}
	return 0
}

// ended finds the leases that are over, and those that an earlier call found and that still stand.
func (l *dutyLeases) ended(now time.Time) []table.Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []table.Operation
	for name, of := range l.of {
		for who, e := range of {
			if now.Sub(e.renewed) > e.ttl+time.Duration(dutyDrift*float64(e.ttl)) {
				e.ending = true
				out = append(out, table.Operation{Kind: table.Expire, Name: name, Candidate: who, Token: e.token, ShortTenure: e.short(now)})
			}
		}
	}
	slices.SortFunc(out, func(a, b table.Operation) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(b.Token, a.Token), strings.Compare(a.Candidate, b.Candidate))
	})
	return out
}

// lapse ends the leases of duties that are over.
func (r *Replica) lapse() {
	for _, op := range r.duties.ended(time.Now()) {
		if _, err := r.write(&Record{Op: OpDuty, Duty: &op}); err != nil {
			return // found again, by this leader or the next
		}
		r.followDuty(op.Name)
		slog.Info("lease of a duty ended", "duty", op.Name, "who", op.Candidate, "token", op.Token)
	}
}

func (r *Replica) followDuty(name string) {
	r.hub.Read(func(s *State) { r.duties.follow(time.Now(), s, name) })
}

// DutyCall is the body of a call about one duty.
type DutyCall struct {
	ID    string `json:"id"`
	Who   string `json:"who"`
	Token uint64 `json:"token"`
	TTLMS int64  `json:"ttl_ms"`
	To    string `json:"to"`
	Data  []byte `json:"data"`
}

func (r *Replica) serveDuty(w http.ResponseWriter, req *http.Request) {
	var in DutyCall
	if !body(w, req, &in) {
		return
	}
	op := table.Operation{
		Kind: table.OperationKind(req.PathValue("op")), Name: req.PathValue("name"), Candidate: in.Who, Token: in.Token, TTLMS: in.TTLMS,
		Successor: in.To, Data: in.Data,
	}
	err := op.Validate()
	if err == nil && op.Kind == table.Expire {
		err = bad("op", "only the leader finds that a lease has ended")
	}
	if err == nil {
		err = writeID(in.ID)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	switch op.Kind {
	case table.Campaign:
		if !r.admits(op.Name, op.Candidate) {
			r.answerDuty(w, op.Name)
			return
		}
	case table.Release:
		op.ShortTenure = r.duties.short(time.Now(), op.Name, op.Candidate, op.Token)
	}
	res, err := r.write(&Record{Op: OpDuty, ID: in.ID, Duty: &op})
	if err != nil {
		r.noLeader(w)
		return
	}
	r.followDuty(op.Name)
	if res.Outcome != Done {
		status := map[Outcome]int{Conflict: http.StatusConflict, NotFound: http.StatusNotFound, TooMany: http.StatusInsufficientStorage}
		answer(w, status[res.Outcome], res)
		return
	}
	r.answerDuty(w, op.Name)
}

func (r *Replica) answerDuty(w http.ResponseWriter, name string) {
	var d table.Lease
	var is bool
	r.hub.Read(func(s *State) { d, is = s.duties.Get(name) })
	if !is {
		refuse(w, http.StatusNotFound, fmt.Errorf("there is no duty %s", name))
		return
	}
	r.mark(w)
	answer(w, http.StatusOK, d)
}

func (r *Replica) serveDutyGet(w http.ResponseWriter, req *http.Request) {
	if r.fresh(w, req) {
		r.answerDuty(w, req.PathValue("name"))
	}
}

// DutyRenewal asks for more time, as a holder under its token or as a candidate under none.
type DutyRenewal struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
}

func (r *Replica) serveDutyRenew(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Who    string        `json:"who"`
		Duties []DutyRenewal `json:"duties"`
	}
	if !body(w, req, &in) {
		return
	}
	if in.Who == "" || len(in.Duties) == 0 || len(in.Duties) > table.MaxLeases {
		refuse(w, http.StatusBadRequest, bad("duties", "%d entries of %q", len(in.Duties), in.Who))
		return
	}
	// Proved after the call came: a leader that others have replaced meanwhile must promise nothing.
	ctx, cancel := context.WithTimeout(req.Context(), applyWait)
	defer cancel()
	if r.settle(ctx) != nil {
		r.noLeader(w)
		return
	}
	lost := []string{}
	r.hub.Read(func(s *State) {
		for _, d := range in.Duties {
			if !r.duties.renew(time.Now(), s, d.Name, in.Who, d.Token) {
				lost = append(lost, d.Name)
			}
		}
	})
	answer(w, http.StatusOK, map[string][]string{"lost": lost})
}

// serveDuties lists all duties, or follows one of them: a line for each of its changes, an empty one every 2 s.
func (r *Replica) serveDuties(w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("watch")
	if name == "" {
		if !r.fresh(w, req) {
			return
		}
		var list []*table.Lease
		r.hub.Read(func(s *State) { list = s.duties.Snapshot() })
		r.mark(w)
		answer(w, http.StatusOK, list)
		return
	}
	if !r.admitWatcher(w) {
		return
	}
	defer r.watchers.Add(-1)
	w.Header().Set("Content-Type", "application/json")
	out := http.NewResponseController(w)
	quiet := time.NewTicker(emptyLine)
	defer quiet.Stop()
	for told, first := uint64(0), true; ; first = false {
		d, woken := r.hub.Duty(name)
		if d.Rev > told || first {
			told = d.Rev
			d.Name = name
			data, err := json.Marshal(d)
			if err != nil || send(w, out, [][]byte{append(data, '\n')}) != nil {
				return
			}
		}
		select {
		case <-req.Context().Done():
			return
		case <-r.ctx.Done():
			return
		case <-woken:
		case <-quiet.C:
			if r.age() < staleAfter && send(w, out, [][]byte{{'\n'}}) != nil {
				return
			}
		}
	}
}

// Duty makes one call about a duty and returns it as it then is.
func (c *Client) Duty(ctx context.Context, kind table.OperationKind, name string, in DutyCall) (table.Lease, error) {
	if in.ID == "" {
		in.ID = NewID()
	}
	var d table.Lease
	return d, c.post(ctx, "/duties/"+url.PathEscape(name)+"/"+string(kind), in, &d)
}

// GetDuty reads a duty, as the leader has it.
func (c *Client) GetDuty(ctx context.Context, name string) (table.Lease, error) {
	var d table.Lease
	return d, c.call(ctx, http.MethodGet, "/duties/"+url.PathEscape(name)+"?fresh=1", nil, &d)
}

// Duties lists them, as the leader has them.
func (c *Client) Duties(ctx context.Context) ([]table.Lease, error) {
	var list []table.Lease
	return list, c.call(ctx, http.MethodGet, "/duties?fresh=1", nil, &list)
}

// RenewDuties asks for more time for duties that who holds or waits for, and returns those that it has lost.
func (c *Client) RenewDuties(ctx context.Context, who string, duties []DutyRenewal) ([]string, error) {
	var out struct {
		Lost []string `json:"lost"`
	}
	return out.Lost, c.post(ctx, "/duties/renew", map[string]any{"who": who, "duties": duties}, &out)
}

// WatchDuty calls do with a duty as it is and after each change, going from replica to replica until ctx ends. An
// older state than one told before is left out.
func (c *Client) WatchDuty(ctx context.Context, name string, do func(table.Lease)) error {
	newest, begun := uint64(0), false
	for backoff := firstBackoff; ; backoff = min(2*backoff, mostBackoff) {
		n := c.at.Load()
		err := c.watchDuty(ctx, c.replicas[int(n)%len(c.replicas)], name, func(d table.Lease) {
			backoff = firstBackoff
			if d.Rev > newest || !begun {
				newest, begun = d.Rev, true
				do(d)
			}
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		slog.Debug("watch of a duty moves on", "duty", name, "error", err)
		c.at.CompareAndSwap(n, n+1)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
	}
}

func (c *Client) watchDuty(ctx context.Context, replica, name string, do func(table.Lease)) error {
	at := "http://" + replica + "/duties?watch=" + url.QueryEscape(name)
	return c.follow(ctx, at, func(http.Header) {}, func(data []byte) error {
		if len(data) == 0 {
			return nil
		}
		var d table.Lease
		if err := json.Unmarshal(data, &d); err != nil {
			return fmt.Errorf("watch of duty %s: %w", name, err)
		}
		do(d)
		return nil
	})
}
