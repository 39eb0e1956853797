package parser

import (
	"regexp"
	"strings"

	"gopkg.in/ini.v1"

	"hornbeamcroft"
)

// builder collects the parsed sections and their problems.
type builder struct {
	doc      hornbeamcroft.Document
	problems Problems
}

const allowedName = "allowed are 1 to 63 lower-case letters, digits and hyphens, beginning with a letter or digit"

var name = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func (b *builder) problem(section, key, value, allowed string) {
	b.problems = append(b.problems, Problem{section, key, value, allowed})
}

func kindOf(section string) string {
	kind, _, _ := strings.Cut(section, " ")
	return kind
}

func (b *builder) section(s hornbeamcroft.Section) {
	f, err := ini.LoadSources(iniOptions, []byte(s.Text))
	if err != nil {
		b.problem(s.Name, "", "", "malformed text: "+err.Error())
		return
	}
	if len(f.SectionStrings()) > 1 {
		b.problem(s.Name, "", f.SectionStrings()[1], "a section's text may not hold another section")
		return
	}
	fs := &fields{section: s.Name, ini: f.Section(""), used: map[string]bool{}, add: b.problem}
	owner := b.owner(s, fs)
	kind, subject, _ := strings.Cut(s.Name, " ")
	switch {
	case kind == KindPlatform && subject == "":
		b.platform(fs)
	case kind == KindService:
		b.service(fs, subject, owner)
	case kind == KindRequest:
		b.request(fs, subject, owner)
	case kind == KindObjective:
		b.objective(fs, subject, owner)
	default:
		b.problem(s.Name, "", "", "unknown section; allowed are [platform], [service NAME], [request SERVICE/TYPE], "+
			"[objective SERVICE/TYPE]")
		return
	}
	fs.unknown()
}

func (b *builder) owner(s hornbeamcroft.Section, fs *fields) string {
	owner, ok := fs.raw("owner")
	switch {
	case !ok:
		fs.missing("owner", allowedName)
	case !name.MatchString(owner):
		b.problem(s.Name, "owner", owner, allowedName)
	case owner != s.Owner:
		b.problem(s.Name, "owner", owner, "the stored owner is "+s.Owner+"; allowed is the same in both places")
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

func (b *builder) platform(fs *fields) {
	p := &b.doc.Platform
	p.MaxDepth = fs.integer("max-depth", DefaultMaxDepth, 1, MaxMaxDepth)
	p.MaxBody = fs.bytes("max-body", DefaultMaxBody, MinMaxBody, MaxMaxBody)
	p.KeyWindow = fs.duration("key-window", DefaultKeyWindow, MinKeyWindow, MaxKeyWindow)
	p.ClockSkew = fs.duration("clock-skew", DefaultClockSkew, 0, MaxClockSkew)
	p.PermitTime = fs.duration("permit-time", DefaultPermitTime, MinPermitTime, MaxPermitTime)
	p.PoisonCrashes = fs.integer("poison-crashes", DefaultPoisonCrashes, 1, MaxPoisonCrashes)
	p.PoisonTime = fs.duration("poison-time", DefaultPoisonTime, MinPoisonTime, MaxPoisonTime)
	p.MaxEjected, _ = fs.share("max-ejected", DefaultMaxEjected, false)
}

func (b *builder) service(fs *fields, subject, owner string) {
	if !name.MatchString(subject) {
		b.problem(fs.section, "", subject, "service name: "+allowedName)
	}
	s := hornbeamcroft.Service{Name: subject, Owner: owner}
	s.Slots = fs.integer("slots", 0, 1, MaxSlots)
	s.Connections = fs.integer("connections", 0, 1, MaxConnections)
	calls, _ := fs.raw("calls")
	s.Calls = strings.Fields(calls)
	s.QueueTime = fs.duration("queue-time", DefaultQueueTime, 0, MaxQueueTime)
	s.SlowStart = fs.duration("slow-start", DefaultSlowStart, 0, MaxSlowStart)
	s.ZoneDelay = fs.duration("zone-delay", DefaultZoneDelay, 0, MaxZoneDelay)
	b.doc.Services[subject] = s
}

// pair splits "service/type" and reports a malformed one.
func (b *builder) pair(section, subject string) (string, string) {
	service, request, _ := strings.Cut(subject, "/")
	if !name.MatchString(service) || !name.MatchString(request) {
		b.problem(section, "", subject, "needs SERVICE/TYPE; each part: "+allowedName)
	}
	return service, request
}

func (b *builder) request(fs *fields, subject, owner string) {
	r := hornbeamcroft.RequestType{Owner: owner}
	r.Service, r.Name = b.pair(fs.section, subject)
	level, ok := fs.raw("importance")
	if !ok {
		level = DefaultImportance
	}
	var err error
	if r.Importance, err = hornbeamcroft.ParseImportance(level); err != nil {
		b.problem(fs.section, "importance", level, "allowed are low, normal, high, critical")
	}
	r.Idempotent = fs.boolean("idempotent", DefaultIdempotent)
	r.Timeout = fs.duration("timeout", DefaultTimeout, MinTimeout, MaxTimeout)
	r.ExtraAttempts = fs.integer("extra-attempts", DefaultExtraAttempts, 0, MaxExtraAttempts)
	b.doc.Requests[subject] = r
}

func (b *builder) objective(fs *fields, subject, owner string) {
	o := hornbeamcroft.Objective{Owner: owner}
	o.Service, o.Request = b.pair(fs.section, subject)
	var ok bool
	if o.Answered, ok = fs.share("answered", 0, true); !ok {
		fs.missing("answered", "allowed is a share above 0 and below 1, for example 0.999 or 99.9%")
	}
	o.Within = fs.duration("within", 0, MinTimeout, MaxTimeout)
	o.WithinShare, ok = fs.share("within-share", 0, true)
	if ok != fs.ini.HasKey("within") {
		b.problem(fs.section, "within-share", fs.ini.Key("within-share").Value(), "within and within-share are allowed together only")
	}
	o.Period = fs.duration("period", DefaultPeriod, MinPeriod, MaxPeriod)
	b.doc.Objectives[subject] = o
}
