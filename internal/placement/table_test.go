package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func window(id string, untilMS int64, servers ...string) Entry {
	return Entry{ID: id, Kind: KeepOff, Tenant: "t", Servers: servers, Least: 0.5, UntilMS: untilMS}
}

// What the table tells since any revision, put onto what it told at that revision, is what it tells now; and rules and
// bounds hold whatever is asked of it.
func TestTableTellsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, epoch := New(), uint64(7)
		table.Begin(1, epoch)
		type told struct{ rev, epoch uint64 }
		past := map[told]map[string]Entry{{1, epoch}: {}}
		for index := uint64(2); index < 30; index++ {
			duty := rapid.SampledFrom([]string{"window/a", "window/b", "window", ""}).Draw(t, "duty")
			o := &Op{NowMS: rapid.Int64Range(1000, 1010).Draw(t, "now")}
			before := maps.Clone(table.entries)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				o.Ended, duty = table.Ended(o.NowMS, 2), ""
			case 1:
				table = Load(table.Save(), epoch)
				continue
			case 2:
				epoch++
				table.Begin(index, epoch)
				past[told{index, epoch}] = maps.Clone(table.entries)
				continue
			case 3, 4:
				o.Drop = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"window/a/x", "window/b/x", "window/b/y"}), 1, 2, rapid.ID[string]).Draw(t, "drop")
			default:
				for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"window/a/x", "window/b/x", "window/b/y", "window/ab/x"}), 1, 3, rapid.ID[string]).Draw(t, "set") {
					o.Set = append(o.Set, window(id, rapid.Int64Range(1000, 1020).Draw(t, "until"), "s1"))
				}
			}
			what, why := table.Apply(index, duty, o)
			if what != Done && !reflect.DeepEqual(before, table.entries) {
				t.Fatalf("refused (%s) and done in part: %v, before %v", why, table.entries, before)
			}
			if what == Done {
				for _, e := range o.Set {
					if duty == "" || !strings.HasPrefix(e.ID, duty+"/") || e.UntilMS <= o.NowMS || table.entries[e.ID].UntilMS != e.UntilMS {
						t.Fatalf("%+v under %q at %d: %+v", e, duty, o.NowMS, table.entries[e.ID])
					}
				}
			}
			bytes := 0
			for _, e := range table.entries {
				bytes += e.size()
			}
			if bytes != table.bytes {
				t.Fatalf("%d bytes counted, are %d", table.bytes, bytes)
			}
			past[told{table.rev, epoch}] = maps.Clone(table.entries)
			for at, then := range past {
				l := table.Since(at.rev, at.epoch, 0) // at this time none has ended
				now := map[string]Entry{}
				if !l.All {
					now = maps.Clone(then)
				}
				for _, e := range l.Entries {
					e.LeftMS = 0
					now[e.ID] = e
				}
				for _, id := range l.Gone {
					delete(now, id)
				}
				if !reflect.DeepEqual(now, table.entries) || l.Rev != table.rev || l.Epoch != epoch {
					t.Fatalf("since %v: %+v, makes %v, want %v", at, l, now, table.entries)
				}
			}
		}
	})
}

// A watch that is behind what history keeps gets the whole; one within gets no more than what changed.
func TestHistoryIsBounded(t *testing.T) {
	table := New()
	table.Begin(1, 7)
	const changes = 5 * keptChanges
	for k := range uint64(changes) {
		id := fmt.Sprint("window/a/", k%10)
		if what, why := table.Apply(2+k, "window/a", &Op{NowMS: 1, Set: []Entry{window(id, int64(10+k), "s")}}); what != Done {
			t.Fatal(why)
		}
		if len(table.history) >= 2*keptChanges {
			t.Fatalf("%d changes are kept", len(table.history))
		}
	}
	newest := table.Rev()
	if l := table.Since(newest-keptChanges+1, 7, 0); l.All || len(l.Entries) != 10 {
		t.Errorf("%d changes back: all %v, %d entries", keptChanges-1, l.All, len(l.Entries))
	}
	for _, after := range []uint64{0, 1, newest - 2*keptChanges, newest + 1} {
		if l := table.Since(after, 7, 0); !l.All {
			t.Errorf("after %d of %d it is not the whole", after, newest)
		}
	}
	if l := table.Since(newest-3, 7, 0); l.All || len(l.Entries) != 3 {
		t.Errorf("three changes back: %+v", l)
	}
	if l := table.Since(newest, 8, 0); !l.All {
		t.Error("of another epoch, and not the whole")
	}
}

// What an entry counts is never less than what its line takes, so that the bounds of a line hold.
func TestSizeCoversTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune{'a', '<', '"', '\\', 'ä', 0x7f, 0x2028, 1, 0xfffd}), 1, 20, -1)
		e := Entry{ID: text.Draw(t, "id"), Kind: Kind(text.Draw(t, "kind")), Tenant: text.Draw(t, "tenant"), Key: text.Draw(t, "key"),
			Name: text.Draw(t, "name"), Servers: rapid.SliceOfN(text, 1, 3).Draw(t, "servers"), Least: rapid.Float64().Draw(t, "least"),
			UntilMS: rapid.Int64().Draw(t, "until"), LeftMS: MaxAheadMS, Rev: rapid.Uint64().Draw(t, "rev")}
		for _, uid := range e.Servers {
			e.Copies = append(e.Copies, Copy{uid, rapid.Float64().Draw(t, "share")})
		}
		data, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		if len(data)+len(",") > e.size() {
			t.Fatalf("%d bytes count as %d: %s", len(data)+1, e.size(), data)
		}
	})
}

func TestRulesAtApply(t *testing.T) {
	const now = 1_000_000_000
	good := func() Entry { return window("window/a/t", now+1000, "s1", "s2") }
	spread := Entry{ID: "spread/k", Kind: Spread, Key: "0123456789abcdef", Copies: []Copy{{"s", 0.5}}, UntilMS: now + 1}
	cohort := Entry{ID: "cohort/r/new", Kind: Cohort, Name: "new", Servers: []string{"s"}, UntilMS: now + 1}
	many := make([]string, MaxServers+1)
	for k := range many {
		many[k] = fmt.Sprint("s", k)
	}
	copies := make([]Copy, MaxCopies+1)
	for k := range copies {
		copies[k].UID = fmt.Sprint("s", k)
	}
	with := func(e Entry, change func(*Entry)) Entry { change(&e); return e }
	for _, c := range []struct {
		name, duty string
		at         int64
		e          Entry
		want       Outcome
	}{
		{"as it should be", "window/a", now, good(), Done},
		{"under the one duty", "window", 0, good(), Done},
		{"a key's copies", "spread", now, spread, Done},
		{"a release's cohort", "release/r", now, cohort, Done},
		{"another window's", "window/b", now, good(), Refused},
		{"a window's with a longer name", "window/", now, good(), Refused},
		{"another release's cohort", "release/other", now, cohort, Refused},
		{"no duty", "", now, good(), Refused},
		{"ended", "window", now, with(good(), func(e *Entry) { e.UntilMS = now }), Refused},
		{"ends as late as may be", "window", now, with(good(), func(e *Entry) { e.UntilMS = now + MaxAheadMS }), Done},
		{"ends later", "window", now, with(good(), func(e *Entry) { e.UntilMS = now + MaxAheadMS + 1 }), Refused},
		{"clocks an hour apart", "window", now + 3_600_000, good(), Refused},
		{"clocks an hour apart, the other way", "window", now - 3_600_000, good(), Refused},
		{"clocks a little apart", "window", now + MaxApartMS, good(), Done},
		{"another kind", "window", now, with(good(), func(e *Entry) { e.Kind = Cohort }), Refused},
		{"an empty part", "window", now, with(good(), func(e *Entry) { e.ID = "window//t" }), Refused},
		{"of no known kind", "what", now, with(good(), func(e *Entry) { e.ID = "what/a" }), Refused},
		{"no servers", "window", now, with(good(), func(e *Entry) { e.Servers = nil }), Refused},
		{"a server twice", "window", now, with(good(), func(e *Entry) { e.Servers = []string{"s", "s"} }), Refused},
		{"too many servers", "window", now, with(good(), func(e *Entry) { e.Servers = many }), Refused},
		{"too many copies", "spread", now, with(spread, func(e *Entry) { e.Copies = copies }), Refused},
		{"no key", "spread", now, with(spread, func(e *Entry) { e.Key = "0123456789ABCDEF" }), Refused},
		{"a share above all", "spread", now, with(spread, func(e *Entry) { e.Copies = []Copy{{"s", 1.5}} }), Refused},
	} {
		table := New()
		table.Begin(1, 7)
		what, why := table.Apply(2, c.duty, &Op{NowMS: now, AtMS: c.at, Set: []Entry{c.e}})
		if what != c.want || what == Done && table.Len() != 1 || what != Done && table.Len() != 0 {
			t.Errorf("%s: %s %s, %d entries, want %s", c.name, what, why, table.Len(), c.want)
		}
	}
	t.Run("full", func(t *testing.T) {
		table := New()
		full := 0
		for ; full < MaxEntries && table.bytes+300 <= MaxBytes; full++ {
			table.set(2, window(fmt.Sprint("window/a/", full), now+1, "s"))
		}
		large := good()
		large.Servers = many[:100]
		if what, _ := table.Apply(2, "window/a", &Op{NowMS: now, Set: []Entry{large}}); what != TooMany || table.Len() != full {
			t.Errorf("one too many: %s", what)
		}
		data, err := json.Marshal(table.Whole(now))
		if err != nil || len(data) > MaxBytes {
			t.Errorf("the whole takes %d bytes: %v", len(data), err)
		}
		if l := table.Since(1, 0, now); full <= mostTold || !l.All {
			t.Errorf("%d changes are not told as the whole", full)
		}
		if what, why := table.Apply(3, "window/a", &Op{NowMS: now, Set: []Entry{good()}, Drop: []string{"window/a/7"}}); what != Done {
			t.Errorf("one for one: %s %s", what, why)
		}
	})
	t.Run("ended", func(t *testing.T) {
		table := New()
		table.Apply(2, "window", &Op{NowMS: now, Set: []Entry{good(), window("window/b/t", now+5, "s")}})
		found := table.Ended(now+1000, 10)
		if len(found) != 2 || found[0].ID != "window/b/t" {
			t.Fatalf("found %v", found)
		}
		table.Apply(3, "window", &Op{NowMS: now + 1, Set: []Entry{window("window/a/t", now+5000, "s")}})
		table.Apply(4, "", &Op{NowMS: now + 1000, Ended: found})
		if left := slices.Collect(maps.Keys(table.entries)); len(left) != 1 || left[0] != "window/a/t" {
			t.Errorf("left are %v, want the one that was prolonged", left)
		}
	})
}
