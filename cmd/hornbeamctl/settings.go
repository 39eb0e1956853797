package main

import (
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"gopkg.in/ini.v1"

	"hornbeamcroft/cmd/hornbeamctl/collector"
	"hornbeamcroft/etcdclient"
	"hornbeamcroft/signer"
)

// defaultTimeout bounds a command.
const defaultTimeout = 10 * time.Second

// settings are the addresses and credentials of a command.
type settings struct {
	store []string
	nodes []string
	key   string
}

// settingsKeys are the keys allowed in the settings file.
var settingsKeys = map[string][]string{
	ini.DefaultSection: nil, "store": {"endpoints"}, "nodes": {"addresses"}, "security": {"operators-key"},
}

// loadSettings reads the settings file, if there is one. Flags replace its addresses.
func loadSettings(cmd *cli.Command) (settings, error) {
	var s settings
	if file := cmd.String("settings"); file != "" {
		f, err := ini.Load(file)
		if err != nil {
			return s, usage("settings: %v", err)
		}
		if unknown := unknownKeys(f); len(unknown) > 0 {
			return s, usage("settings %s: unknown: %s", file, strings.Join(unknown, ", "))
		}
		s.store = strings.Fields(f.Section("store").Key("endpoints").Value())
		s.nodes = strings.Fields(f.Section("nodes").Key("addresses").Value())
		s.key = f.Section("security").Key("operators-key").Value()
	}
	if cmd.IsSet("store") {
		s.store = cmd.StringSlice("store")
	}
	if cmd.IsSet("nodes") {
		s.nodes = cmd.StringSlice("nodes")
	}
	return s, nil
}

func unknownKeys(f *ini.File) []string {
	var unknown []string
	for _, section := range f.Sections() {
		allowed, ok := settingsKeys[section.Name()]
		if !ok {
			unknown = append(unknown, "["+section.Name()+"]")
		}
		for _, key := range section.KeyStrings() {
			if ok && !slices.Contains(allowed, key) {
				unknown = append(unknown, "["+section.Name()+"] "+key)
			}
		}
	}
	return unknown
}

// client returns the store, or an error if no endpoint is known.
func (s settings) client() (*etcdclient.Client, error) {
	if len(s.store) == 0 {
		return nil, usage("no store: set --store or [store] endpoints in the settings")
	}
	// A command makes few calls; a breaker could only turn an error into another.
	c := &etcdclient.Client{Endpoints: s.store, NoBreaker: true}
	c.Init()
	return c, nil
}

// signer returns the signer of documents; without a key it signs nothing.
func (s settings) signer() signer.Signer { return signer.Signer{Key: []byte(s.key)} }

func (s settings) collector() *collector.Collector {
	return &collector.Collector{Addresses: s.nodes, Key: s.key}
}
