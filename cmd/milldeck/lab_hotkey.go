package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
)

// hotKeyFlags replace the hot-key controller of an experiment, or remove its hot keys.
type hotKeyFlags struct {
	controller     string
	withoutHotKeys bool
}

func (f *hotKeyFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.controller, "spread", "", "hot-key controller in sim: on, off or oracle; it overrides the file")
	command.Flags().BoolVar(&f.withoutHotKeys, "calm", false, "make phases with hot keys steady")
}

// apply returns the experiment with the changes that the flags request.
func (f *hotKeyFlags) apply(experiment *lab.Experiment) (*lab.Experiment, error) {
	if f.withoutHotKeys {
		experiment = experiment.WithoutHotKeys()
	}
	if f.controller == "" {
		return experiment, nil
	}
	if experiment.HotKeys == nil {
		return nil, usageError{fmt.Errorf("--spread: experiment %s has no [spread]", experiment.Name)}
	}
	changed, hotKeys := *experiment, *experiment.HotKeys
	changed.HotKeys = &hotKeys
	switch f.controller {
	case "on", "off", "oracle":
		hotKeys.Enabled, hotKeys.Oracle = f.controller == "on", f.controller == "oracle"
	default:
		return nil, usageError{fmt.Errorf("--spread %s: not on, off or oracle", f.controller)}
	}
	for i := range changed.Faults {
		if !hotKeys.Enabled && lab.IsHotKeyFault(lab.FaultKind(changed.Faults[i].Kind)) {
			return nil, usageError{fmt.Errorf("--spread %s: fault %s needs the hot-key controller",
				f.controller, changed.Faults[i].Kind)}
		}
	}
	return &changed, nil
}
