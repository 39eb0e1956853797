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

// defaultTimeout is the default of --timeout, which bounds the store and node requests of one command.
const defaultTimeout = 10 * time.Second

// settings holds the addresses and the key that a command uses.
type settings struct {
	// storeEndpoints are the host:port addresses of the store.
	storeEndpoints []string
	// nodeAddresses are the host:port addresses of the nodes' operators' endpoints.
	nodeAddresses []string
	// operatorsKey signs documents and authorizes requests to nodes; it may be empty.
	operatorsKey string
}

// settingsKeys maps each section allowed in the settings file to its allowed keys.
var settingsKeys = map[string][]string{
	ini.DefaultSection: nil, "store": {"endpoints"}, "nodes": {"addresses"}, "security": {"operators-key"},
}

// loadSettings reads the file that --settings names, if any. The addresses of --store and --nodes replace those of the
// file. Unknown sections and keys are usage errors.
func loadSettings(cmd *cli.Command) (settings, error) {
	var s settings
	if file := cmd.String("settings"); file != "" {
		f, err := ini.Load(file)
		if err != nil {
			return s, usageErrorf("settings file: %v", err)
		}
		if unknown := unknownKeys(f); len(unknown) > 0 {
			return s, usageErrorf("settings file %s: unknown: %s", file, strings.Join(unknown, ", "))
		}
		s.storeEndpoints = strings.Fields(f.Section("store").Key("endpoints").Value())
		s.nodeAddresses = strings.Fields(f.Section("nodes").Key("addresses").Value())
		s.operatorsKey = f.Section("security").Key("operators-key").Value()
	}
	if cmd.IsSet("store") {
		s.storeEndpoints = cmd.StringSlice("store")
	}
	if cmd.IsSet("nodes") {
		s.nodeAddresses = cmd.StringSlice("nodes")
	}
	return s, nil
}

// unknownKeys lists the sections and keys of f that settingsKeys does not allow.
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

// storeClient returns a client of the store, or a usage error if no endpoint is set.
func (s settings) storeClient() (*etcdclient.Client, error) {
	if len(s.storeEndpoints) == 0 {
		return nil, usageErrorf("no store endpoint: set --store, or endpoints in section [store] of the settings file")
	}
	// A command makes too few calls for a circuit breaker to help: it would only replace one error by another.
	c := &etcdclient.Client{Endpoints: s.storeEndpoints, NoBreaker: true}
	c.Init()
	return c, nil
}

// signer returns the signer of documents. If operatorsKey is empty, it signs nothing.
func (s settings) signer() signer.Signer { return signer.Signer{Key: []byte(s.operatorsKey)} }

func (s settings) collector() *collector.Collector {
	return &collector.Collector{Addresses: s.nodeAddresses, Key: s.operatorsKey}
}
