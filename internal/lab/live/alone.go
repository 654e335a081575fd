package live

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milldeck/internal/lab"
)

// alone is the observer of a server that no lab watches: what a request is, its head says.
type alone struct {
	p        *program
	attempts atomic.Int64
}

// told is an attempt known by its request's head alone.
type told struct {
	near
	j lab.Job
}

func (t *told) job() lab.Job { return t.j }

func (t *told) over(string) {}

func (t *told) made() {}

func (a *alone) call(id uint64, x exchange) (call, bool) {
	h := x.req.Header
	t := &told{j: lab.Job{Attempt: a.attempts.Add(1), Request: id}}
	known := false
	for i := range a.p.file.Class {
		if a.p.file.Class[i].Name == h.Get("X-Priority-Class") {
			t.j.Class, known = i, true
		}
	}
	if !known {
		return t, false
	}
	if us, err := strconv.ParseFloat(h.Get("X-Cost"), 64); err == nil {
		t.j.WorkMS = us / 1000
	} else {
		t.j.WorkMS = a.p.file.Class[t.j.Class].WorkMS.Min
	}
	if c, err := x.req.Cookie("k"); err == nil {
		t.j.Key, _ = strconv.ParseUint(c.Value, 16, 64) // 0, no key, where it is none
	}
	if key := strings.TrimLeft(h.Get("Idempotency-Key"), "0"); key != "" {
		t.j.EffectID, _ = strconv.ParseUint(key[:min(16, len(key))], 16, 64) // as above
	}
	return t, true
}

func (*alone) count(func(*lab.Counts)) {}

func (*alone) ready() {}

func (*alone) ends() {}

func (*alone) ran(time.Time, lab.JobCompletion) {}

func (*alone) fell(time.Time, *lab.SlowStartOverload) {}

func (*alone) close() {}
