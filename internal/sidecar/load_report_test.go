package sidecar

import "testing"

// A load report is used only if each value is valid and occurs exactly once.
func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	names := []string{"busy", "rate"}
	for _, text := range []string{
		"", "busy=0.5", "busy=NaN,rate=7", "busy=0.5,rate=+Inf", "busy=-1,rate=7", "busy=0.5,rate=1e12",
		"busy=0.5,rate=7,busy=0.6", "busy=0.5,rate=", "busy,rate", "busy=0.5;rate=7", "busy=1e400,rate=7",
	} {
		if report := parseLoadReport(text, names); report != nil {
			t.Errorf("%q: %v", text, report)
		}
	}
	if report := parseLoadReport(" rate=7, more=x ,busy=0.5", names); len(report) != 2 || report[0] != 0.5 || report[1] != 7 {
		t.Errorf("%v", report)
	}
}
