package release

import (
	"cmp"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// CohortID is the placement's entry that has sidecars count the new version's servers apart.
func (s *State) CohortID() string { return "cohort/" + s.Name }

// Moved are the names of the units that are on the new version, or on their way up on it, in order.
func (s *State) Moved() []string {
	var out []string
	for i := range s.Units {
		if u := &s.Units[i]; !u.Back && (u.Stage == Rest || u.Stage == Rise) {
			out = append(out, u.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Interval makes an interval for the judge of reports that came in one second, one of each sidecar at most, and of units
// as the platform lists them. Expected is how many sidecars live. For servers the reports' cohorts say what met the new
// version, for sidecars who reports. Restarts are those since the list before.
func (s *State) Interval(reports []placement.LoadReport, expected int, before, now *supervisor.List) judge.Interval {
	moved := map[string]bool{}
	for _, name := range s.Moved() {
		moved[name] = true
	}
	servers := s.ledgerKind() == disruption.KindServer
	pairs := map[[2]string]*judge.Pair{}
	for i := range reports {
		r := &reports[i]
		for k := range r.ClassCounts {
			c := &r.ClassCounts[k]
			zone, side := c.Zone, moved[r.Sidecar]
			switch {
			case !servers:
				zone = r.Zone // a sidecar is compared with those beside it
			case c.Cohort != "" && c.Cohort != s.Name:
				continue // what another release moves is neither
			default:
				side = c.Cohort == s.Name
			}
			at := [2]string{zone, c.Class}
			p := pairs[at]
			if p == nil {
				p = &judge.Pair{Class: c.Class, Zone: zone}
				pairs[at] = p
			}
			to := &p.Old
			if side {
				to = &p.New
			}
			sum(to, c)
		}
	}
	in := judge.Interval{Expected: expected, Reports: len(reports), Zones: s.zones(moved, before, now)}
	for _, p := range pairs {
		in.Pairs = append(in.Pairs, *p)
	}
	slices.SortFunc(in.Pairs, func(a, b judge.Pair) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class))
	})
	return in
}

func sum(to *judge.Counts, c *placement.ClassCount) {
	to.Served += c.Succeeded
	to.Late += c.Late
	to.Failed += c.Failed
	for len(to.Latency) < len(c.LatencyHistogram) {
		to.Latency = append(to.Latency, 0)
	}
	for i, n := range c.LatencyHistogram {
		to.Latency[i] += n
	}
}

// zones counts units and their restarts by zone, the new and the old of the release's kind. Memory is not known here.
func (s *State) zones(moved map[string]bool, before, now *supervisor.List) []judge.ZonePair {
	if now == nil {
		return nil
	}
	zones := map[string]*judge.ZonePair{}
	for i := range now.Units {
		u := &now.Units[i]
		if u.Kind != s.kind() || u.State != supervisor.Running && u.State != supervisor.Starting {
			continue
		}
		z := zones[u.Zone]
		if z == nil {
			z = &judge.ZonePair{Zone: u.Zone}
			zones[u.Zone] = z
		}
		side := &z.Old
		if moved[u.Name] {
			side = &z.New
		}
		side.Units++
		if before == nil || before.Epoch != now.Epoch {
			continue
		}
		if was := before.Find(u.Name); was != nil && was.Incarnation == u.Incarnation {
			side.Restarts += u.Restarts - was.Restarts
		}
	}
	var out []judge.ZonePair
	for _, z := range zones {
		out = append(out, *z)
	}
	slices.SortFunc(out, func(a, b judge.ZonePair) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
