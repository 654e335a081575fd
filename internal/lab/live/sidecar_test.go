package live

import (
	"encoding/json"
	"testing"
)

// The keys of a sidecar's configuration are those that the sidecar program reads; keys without a value are left out.
func TestSidecarConfigKeys(t *testing.T) {
	known := endpointList{Revision: 1, Complete: true, Targets: []endpoint{}}
	for _, test := range []struct {
		name   string
		config sidecarConfig
		want   string
	}{
		{
			"without gossip and control plane",
			sidecarConfig{
				Name: "n0", Listen: "127.64.1.1:8081", Discovery: "127.64.0.1:10000", Seed: "0000000000000001",
				Limits: sidecarLimits{Cores: 0.5, MemoryMB: 64, Sockets: 256}, Known: known, Settings: json.RawMessage(`{"a":1}`),
			},
			`{"discovery":"127.64.0.1:10000","known":{"rev":1,"all":true,"targets":[]},` +
				`"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"listen":"127.64.1.1:8081","name":"n0",` +
				`"seed":"0000000000000001","settings":{"a":1}}`,
		},
		{
			"with gossip and control plane",
			sidecarConfig{
				Name: "n0", Known: known, Settings: json.RawMessage(`{}`), GossipListen: "g", GossipPeers: []string{"p"},
				Placement: "d", Version: "1", Application: "branch",
			},
			`{"application":"branch","discovery":"","known":{"rev":1,"all":true,"targets":[]},` +
				`"limits":{"cores":0,"memory_mb":0,"sockets":0},"listen":"","name":"n0","peer_listen":"g","peers":["p"],` +
				`"placement":"d","seed":"","settings":{},"version":"1"}`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := json.Marshal(test.config)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != test.want {
				t.Errorf("got  %s\nwant %s", got, test.want)
			}
		})
	}
}
