package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
)

// spreadFlags play an experiment about hot keys with another spreader, or without its heat.
type spreadFlags struct {
	spread string
	calm   bool
}

func (s *spreadFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&s.spread, "spread", "", "in sim, who spreads hot keys in place of what the file says: on, off or oracle")
	c.Flags().BoolVar(&s.calm, "calm", false, "leave out phases of hot keys")
}

// of gives the experiment as the flags have it.
func (s *spreadFlags) of(f *lab.File) (*lab.File, error) {
	if s.calm {
		f = f.Calm()
	}
	if s.spread == "" {
		return f, nil
	}
	if f.Spread == nil {
		return nil, usageError{fmt.Errorf("--spread: %s has no [spread]", f.Name)}
	}
	g, sp := *f, *f.Spread
	g.Spread = &sp
	switch s.spread {
	case "on", "off", "oracle":
		sp.On, sp.Oracle = s.spread == "on", s.spread == "oracle"
	default:
		return nil, usageError{fmt.Errorf("--spread %s: not on, off or oracle", s.spread)}
	}
	for i := range g.Faults {
		if !sp.On && lab.OfSpreader(lab.FaultKind(g.Faults[i].Kind)) {
			return nil, usageError{fmt.Errorf("--spread %s: %s needs the spreader", s.spread, g.Faults[i].Kind)}
		}
	}
	return &g, nil
}
