package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
)

// hotKeyFlags play an experiment with another hot-key controller, or without its hot keys.
type hotKeyFlags struct {
	controller     string
	withoutHotKeys bool
}

func (f *hotKeyFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.controller, "spread", "", "in sim, the hot-key controller in place of that of the file: on, off or oracle")
	command.Flags().BoolVar(&f.withoutHotKeys, "calm", false, "leave out phases of hot keys")
}

// apply returns the experiment as the flags change it.
func (f *hotKeyFlags) apply(experiment *lab.Experiment) (*lab.Experiment, error) {
	if f.withoutHotKeys {
		experiment = experiment.WithoutHotKeys()
	}
	if f.controller == "" {
		return experiment, nil
	}
	if experiment.HotKeys == nil {
		return nil, usageError{fmt.Errorf("--spread: %s has no [spread]", experiment.Name)}
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
			return nil, usageError{fmt.Errorf("--spread %s: %s needs the hot-key controller", f.controller, changed.Faults[i].Kind)}
		}
	}
	return &changed, nil
}
