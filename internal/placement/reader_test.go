package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// draw gives a number of a range: from rapid, or of a seeded source where a planted bug has to be found.
type draw func(name string, lo, hi int64) int64

// clock is a machine's: its monotonic one is right, its wall clock may be set at any time.
type clock struct{ began, offset int64 }

func (c *clock) wall(now int64) int64 { return now + c.offset }
func (c *clock) mono(now int64) int64 { return now - c.began }

// story plays a registry whose clock is right, an agent that follows it and a sidecar that follows the agent, both with
// clocks that are set to anything at any time, lines that are lost, and restarts of the agent. It returns an error when
// the sidecar has an entry past the end to which it was approved. Relay is how the agent tells on.
func story(d draw, relay func(agent *Reader, took *List, after, epoch uint64, wallMS, monoMS int64) List) error {
	now := int64(1_000_000)
	table := New()
	table.Begin(1, 7)
	ends := map[string]int64{} // approved
	agent, sidecar := NewReader(), NewReader()
	at, sat := &clock{}, &clock{began: 500}
	took := &List{}
	for index := uint64(2); index < 40; index++ {
		now += d("pass", 0, 400)
		switch d("what", 0, 8) {
		case 0, 1: // approved or prolonged
			id := fmt.Sprint("window/a/", d("id", 0, 2))
			e := window(id, now+d("length", 1, 1500), "s")
			if what, why := table.Apply(index, "window/a", &Op{NowMS: now, Set: []Entry{e}}); what != Done {
				return errors.New(why)
			}
			ends[id] = max(ends[id], e.UntilMS) // what was approved longer may last so long where the change is not heard
		case 2: // swept, some time after the end
			if over := table.Ended(now-300, 5); over != nil {
				table.Apply(index, "", &Op{NowMS: now, Ended: over})
			}
		case 3, 4: // the agent hears of it, of changes or of the whole as on another replica
			after := agent.Rev()
			if d("whole", 0, 1) == 0 {
				after = 0
			}
			l := table.Since(after, agent.Epoch(), now)
			if _, err := agent.Take(&l, at.wall(now), at.mono(now)); err != nil {
				return err
			}
			took = &l
		case 5: // the sidecar hears of it
			after := sidecar.Rev()
			if d("whole", 0, 1) == 0 {
				after = 0
			}
			if agent.Known() {
				l := relay(agent, took, after, sidecar.Epoch(), at.wall(now), at.mono(now))
				if _, err := sidecar.Take(&l, sat.wall(now), sat.mono(now)); err != nil && !errors.Is(err, ErrStrange) {
					return err
				}
			}
		case 6:
			at.offset = d("agent's clock", -2000, 2000)
		case 7:
			sat.offset = d("sidecar's clock", -2000, 2000)
		case 8: // the agent starts again; its clock may have been set forward meanwhile
			if !agent.Known() {
				continue
			}
			saved, savedMS := agent.Save(at.wall(now), at.mono(now)), at.wall(now)
			now += d("down", 0, 500)
			at.began = now
			at.offset += d("set forward", 0, 1) * d("by", 0, 300)
			agent = NewReader()
			agent.Restore(saved, savedMS, at.wall(now), at.mono(now))
		}
		for who, l := range map[string]List{
			"agent":   agent.At(at.wall(now), at.mono(now)),
			"sidecar": sidecar.At(sat.wall(now), sat.mono(now)),
		} {
			for _, e := range l.Entries {
				if now >= ends[e.ID] {
					return fmt.Errorf("the %s has %s at %d, approved to %d", who, e.ID, now, ends[e.ID])
				}
				if e.LeftMS <= 0 || e.UntilMS > ends[e.ID] {
					return fmt.Errorf("the %s has %+v, approved to %d", who, e, ends[e.ID])
				}
			}
		}
	}
	return nil
}

func honest(agent *Reader, _ *List, after, epoch uint64, wallMS, monoMS int64) List {
	return agent.Since(after, epoch, wallMS, monoMS)
}

// However the wall clocks of agent and sidecar are set, nothing lasts longer than it was approved.
func TestNothingOutlivesItsApproval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string, lo, hi int64) int64 { return rapid.Int64Range(lo, hi).Draw(t, name) }
		if err := story(d, honest); err != nil {
			t.Fatal(err)
		}
	})
}

// planted counts of many seeded stories those that end in an error.
func planted(relay func(*Reader, *List, uint64, uint64, int64, int64) List) int {
	found := 0
	for seed := range uint64(600) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		d := func(_ string, lo, hi int64) int64 { return lo + rnd.Int64N(hi-lo+1) }
		if story(d, relay) != nil {
			found++
		}
	}
	return found
}

// An agent that tells LeftMS on as it was told, or that hands on what has ended, is found.
func TestThePlantedBugsAreFound(t *testing.T) {
	if n := planted(honest); n != 0 {
		t.Fatalf("of an agent without a bug %d stories fail", n)
	}
	asTold := func(agent *Reader, took *List, after, epoch uint64, wallMS, monoMS int64) List {
		l := agent.Since(after, epoch, wallMS, monoMS)
		for k := range l.Entries {
			for _, e := range took.Entries {
				if e.ID == l.Entries[k].ID && e.Rev == l.Entries[k].Rev {
					l.Entries[k].LeftMS = e.LeftMS
				}
			}
		}
		return l
	}
	if n := planted(asTold); n == 0 {
		t.Error("LeftMS is not recomputed, and nobody notices")
	}
	byWall := func(agent *Reader, _ *List, after, epoch uint64, wallMS, _ int64) List {
		return agent.since(after, epoch, func(e *Entry) int64 { return e.UntilMS - wallMS })
	}
	if n := planted(byWall); n == 0 {
		t.Error("the agent counts by its wall clock alone, and nobody notices")
	}
}

// A registry whose clock is behind leaves too much: then the reader's own wall clock ends the entry.
func TestTheWallClockEndsWhatARegistryLeftTooLong(t *testing.T) {
	r := NewReader()
	e := window("window/a/t", 10_000, "s")
	e.Rev, e.LeftMS = 3, 9_000
	l := &List{Rev: 3, All: true, Epoch: 7, Entries: []Entry{e}}
	if _, err := r.Take(l, 9_500, 0); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		wall, mono int64
		want       int
	}{{9_999, 400, 1}, {9_999, 400, 1}, {10_000, 500, 0}, {5_000, 600, 0}} { // set back, it stays ended
		if got := r.At(step.wall, step.mono); len(got.Entries) != step.want {
			t.Errorf("at %d, %d: %+v", step.wall, step.mono, got)
		}
	}
	if _, err := r.Take(l, 5_000, 700); err != nil || len(r.At(5_000, 700).Entries) != 0 {
		t.Errorf("told again it is back: %+v, %v", r.At(5_000, 700), err)
	}
	e.Rev, e.UntilMS = 4, 20_000
	if _, err := r.Take(&List{Rev: 4, Epoch: 7, Entries: []Entry{e}}, 10_100, 800); err != nil || len(r.At(10_100, 800).Entries) != 1 {
		t.Errorf("prolonged it is not there: %v", err)
	}
	if got := r.At(10_101, 800+9_000); len(got.Entries) != 0 { // the wall clock stands
		t.Errorf("the monotonic clock does not end it: %+v", got)
	}
}

func TestReaderTakesOnlyWhatContinues(t *testing.T) {
	r := NewReader()
	of := func(rev, epoch uint64, all bool, id string) *List {
		e := window(id, 10_000, "s")
		e.Rev, e.LeftMS = rev, 5_000
		return &List{Rev: rev, Epoch: epoch, All: all, Entries: []Entry{e}}
	}
	tooMany := &List{Rev: 50, Epoch: 9, All: true, Entries: make([]Entry, MaxEntries+1)}
	for k := range tooMany.Entries {
		tooMany.Entries[k].ID = fmt.Sprint("window/", k)
	}
	for _, c := range []struct {
		name string
		l    *List
		news bool
		err  bool
		left int
	}{
		{"changes before any whole", of(3, 7, false, "window/a"), false, true, 0},
		{"the whole", of(3, 7, true, "window/a"), true, false, 1},
		{"an older one", of(2, 7, true, "window/b"), false, false, 1},
		{"a change", of(4, 7, false, "window/b"), true, false, 2},
		{"a kind of a later version", &List{Rev: 5, Epoch: 7, Entries: []Entry{{ID: "x", Kind: "later", UntilMS: 9000, LeftMS: 10, Rev: 5}}}, true, false, 3},
		{"changes of another epoch", of(9, 8, false, "window/c"), false, true, 3},
		{"the whole of an older backup", of(2, 8, true, "window/c"), true, false, 1},
		{"too many", tooMany, false, true, 1},
		{"gone", &List{Rev: 6, Epoch: 8, Gone: []string{"window/c", "window/never"}}, true, false, 0},
	} {
		news, err := r.Take(c.l, 1000, 0)
		if news != c.news || (err != nil) != c.err || len(r.At(1000, 0).Entries) != c.left {
			t.Errorf("%s: news %v, %v, then %+v", c.name, news, err, r.At(1000, 0))
		}
	}
	if err := NewReader().Restore(List{}, 1000, 999, 0); err == nil {
		t.Error("restored though the clock has gone back")
	}
}
