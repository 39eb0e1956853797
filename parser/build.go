package parser

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"

	"hornbeamcroft"
)

// builder collects the parsed sections of a document and the problems of the document.
type builder struct {
	doc      hornbeamcroft.Document
	problems Problems
}

// allowedName describes the names that namePattern matches.
const allowedName = "must be 1 to 63 lower-case letters, digits and hyphens, beginning with a letter or digit"

// namePattern matches names of services, request types and owners.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func (b *builder) addProblem(section, key, value, allowed string) {
	b.problems = append(b.problems, Problem{section, key, value, allowed})
}

// kindOf returns the kind of the section with the given name.
func kindOf(section string) string {
	kind, _, _ := strings.Cut(section, " ")
	return kind
}

// parseSection parses and checks one section and adds it to the document.
func (b *builder) parseSection(s hornbeamcroft.Section) {
	if len(s.Text) > MaxSection {
		b.addProblem(s.Name, "", fmt.Sprintf("%d bytes", len(s.Text)), fmt.Sprintf("must be at most %d bytes", MaxSection))
		return
	}
	f, err := ini.LoadSources(iniOptions, []byte(s.Text))
	if err != nil {
		b.addProblem(s.Name, "", "", "malformed text: "+err.Error())
		return
	}
	if len(f.SectionStrings()) > 1 {
		b.addProblem(s.Name, "", f.SectionStrings()[1], "the text of a section must not contain another section")
		return
	}
	keys := &keyReader{section: s.Name, ini: f.Section(""), known: map[string]bool{}, addProblem: b.addProblem}
	owner := b.parseOwner(s, keys)
	kind, subject, _ := strings.Cut(s.Name, " ")
	switch {
	case kind == KindPlatform && subject == "":
		b.parsePlatform(keys)
	case kind == KindService:
		b.parseService(keys, subject, owner)
	case kind == KindRequest:
		b.parseRequest(keys, subject, owner)
	case kind == KindObjective:
		b.parseObjective(keys, subject, owner)
	default:
		b.addProblem(s.Name, "", "", "unknown section; must be one of [platform], [service NAME], [request SERVICE/TYPE], "+
			"[objective SERVICE/TYPE]")
		return
	}
	keys.reportUnknown()
}

// parseOwner returns the owner key of a section. It reports an owner that is missing, malformed or different from the
// owner that is stored with the section.
func (b *builder) parseOwner(s hornbeamcroft.Section, keys *keyReader) string {
	owner, ok := keys.value("owner")
	switch {
	case !ok:
		keys.reportMissing("owner", allowedName)
	case !namePattern.MatchString(owner):
		b.addProblem(s.Name, "owner", owner, allowedName)
	case owner != s.Owner:
		b.addProblem(s.Name, "owner", owner, "the owner stored with the section is "+s.Owner+"; both must be the same")
	}
	return owner
}

func defaultPlatform() hornbeamcroft.Platform {
	return hornbeamcroft.Platform{
		MaxDepth: DefaultMaxDepth, MaxBody: DefaultMaxBody, KeyWindow: DefaultKeyWindow, ClockSkew: DefaultClockSkew,
		PermitTime: DefaultPermitTime, PoisonCrashes: DefaultPoisonCrashes, PoisonTime: DefaultPoisonTime,
		MaxEjected: DefaultMaxEjected,
	}
}

func (b *builder) parsePlatform(keys *keyReader) {
	p := &b.doc.Platform
	p.MaxDepth = keys.integer("max-depth", DefaultMaxDepth, 1, MaxMaxDepth)
	p.MaxBody = keys.bytes("max-body", DefaultMaxBody, MinMaxBody, MaxMaxBody)
	p.KeyWindow = keys.duration("key-window", DefaultKeyWindow, MinKeyWindow, MaxKeyWindow)
	p.ClockSkew = keys.duration("clock-skew", DefaultClockSkew, 0, MaxClockSkew)
	p.PermitTime = keys.duration("permit-time", DefaultPermitTime, MinPermitTime, MaxPermitTime)
	p.PoisonCrashes = keys.integer("poison-crashes", DefaultPoisonCrashes, 1, MaxPoisonCrashes)
	p.PoisonTime = keys.duration("poison-time", DefaultPoisonTime, MinPoisonTime, MaxPoisonTime)
	p.MaxEjected, _ = keys.share("max-ejected", DefaultMaxEjected, false)
}

func (b *builder) parseService(keys *keyReader, subject, owner string) {
	if !namePattern.MatchString(subject) {
		b.addProblem(keys.section, "", subject, "service name "+allowedName)
	}
	s := hornbeamcroft.Service{Name: subject, Owner: owner}
	s.Slots = keys.integer("slots", 0, 1, MaxSlots)
	s.Connections = keys.integer("connections", 0, 1, MaxConnections)
	calls, _ := keys.value("calls")
	s.Calls = strings.Fields(calls)
	s.QueueTime = keys.duration("queue-time", DefaultQueueTime, 0, MaxQueueTime)
	s.SlowStart = keys.duration("slow-start", DefaultSlowStart, 0, MaxSlowStart)
	s.ZoneDelay = keys.duration("zone-delay", DefaultZoneDelay, 0, MaxZoneDelay)
	b.doc.Services[subject] = s
}

// splitTypeName splits "service/type", the subject of a request or objective section, and reports it if it is
// malformed.
func (b *builder) splitTypeName(section, subject string) (string, string) {
	service, request, _ := strings.Cut(subject, "/")
	if !namePattern.MatchString(service) || !namePattern.MatchString(request) {
		b.addProblem(section, "", subject, "must be SERVICE/TYPE; each part "+allowedName)
	}
	return service, request
}

func (b *builder) parseRequest(keys *keyReader, subject, owner string) {
	r := hornbeamcroft.RequestType{Owner: owner}
	r.Service, r.Name = b.splitTypeName(keys.section, subject)
	level, ok := keys.value("importance")
	if !ok {
		level = DefaultImportance
	}
	var err error
	if r.Importance, err = hornbeamcroft.ParseImportance(level); err != nil {
		b.addProblem(keys.section, "importance", level, "must be one of low, normal, high, critical")
	}
	r.Idempotent = keys.boolean("idempotent", DefaultIdempotent)
	r.Timeout = keys.duration("timeout", DefaultTimeout, MinTimeout, MaxTimeout)
	r.ExtraAttempts = keys.integer("extra-attempts", DefaultExtraAttempts, 0, MaxExtraAttempts)
	b.doc.RequestTypes[subject] = r
}

func (b *builder) parseObjective(keys *keyReader, subject, owner string) {
	o := hornbeamcroft.Objective{Owner: owner}
	o.Service, o.RequestType = b.splitTypeName(keys.section, subject)
	var ok bool
	if o.Answered, ok = keys.share("answered", 0, true); !ok {
		keys.reportMissing("answered", "must be a share above 0 and below 1, for example 0.999 or 99.9%")
	}
	o.Within = keys.duration("within", 0, MinTimeout, MaxTimeout)
	o.WithinShare, ok = keys.share("within-share", 0, true)
	if ok != keys.ini.HasKey("within") {
		b.addProblem(keys.section, "within-share", keys.ini.Key("within-share").Value(),
			"within and within-share must be set together")
	}
	o.Period = keys.duration("period", DefaultPeriod, MinPeriod, MaxPeriod)
	b.doc.Objectives[subject] = o
}
