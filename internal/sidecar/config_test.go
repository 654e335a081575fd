package sidecar

import (
	"fmt"
	"strings"
	"testing"
)

func TestInvalidConfigurations(t *testing.T) {
	for name, test := range map[string]struct {
		change func(configDocument)
		want   string
	}{
		"listen":         {func(document configDocument) { document["listen"] = "here" }, "listen"},
		"discovery":      {func(document configDocument) { delete(document, "discovery") }, "discovery"},
		"seed":           {func(document configDocument) { document["seed"] = "xyz" }, "seed"},
		"no settings":    {func(document configDocument) { delete(document, "settings") }, "no settings"},
		"no classes":     {func(document configDocument) { document["settings"] = map[string]any{} }, "no classes"},
		"unknown effect": {func(document configDocument) { document.replaceSetting("non_idempotent", "other") }, "effect"},
		"class names":    {func(document configDocument) { document.replaceSetting(`"name": "charge"`, `"name": "lookup"`) }, "classes"},
		"tenant names":   {func(document configDocument) { document.replaceSetting(`"name": "kita"`, `"name": ""`) }, "tenants"},
		"sockets":        {func(document configDocument) { document["limits"] = map[string]any{"sockets": 10} }, "sockets"},
		"wrong type":     {func(document configDocument) { document["limits"] = 3 }, "limits"},
	} {
		t.Run(name, func(t *testing.T) {
			document := newConfigDocument("127.0.0.1:1")
			test.change(document)
			_, err := document.load(t)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q, want one line that names %s", fmt.Sprint(err), test.want)
			}
		})
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("no error although NODE_CONFIG is not set")
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	path := newConfigDocument("127.0.0.1:1").writeFile(t)
	env := map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:2", "NODE_DISCOVERY": "127.0.0.1:3"}
	config, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n7" || config.ListenAddress != "127.0.0.1:2" || config.DiscoveryAddress != "127.0.0.1:3" {
		t.Errorf("configuration is %+v", config)
	}
}
