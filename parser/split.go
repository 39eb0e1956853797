package parser

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"hornbeamcroft"
)

var header = regexp.MustCompile(`^\s*\[([^\]]*)\]\s*(?:[;#].*)?$`)

// iniOptions switches off all multi-line and nested forms, so that a line that looks like a header is one.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// Split cuts INI text into sections with owner and text, in the order of the text. Generation and writer stay empty.
// Comments are kept with the section above them; text before the first section may only hold comments.
func Split(text []byte) ([]hornbeamcroft.Section, error) {
	var sections []hornbeamcroft.Section
	var problems Problems
	var body []string
	closeSection := func() {
		joined := strings.TrimSpace(strings.Join(body, "\n"))
		body = nil
		if len(sections) > 0 {
			sections[len(sections)-1].Text = joined
		} else if !onlyComments(joined) {
			problems = append(problems, Problem{"document", "", firstLine(joined), "keys are allowed inside a section only"})
		}
	}
	text = bytes.TrimPrefix(text, []byte("\uFEFF"))
	for line := range strings.Lines(string(text)) {
		line = strings.TrimRight(line, "\r\n")
		m := header.FindStringSubmatch(line)
		if m == nil {
			body = append(body, line)
			continue
		}
		closeSection()
		sections = append(sections, hornbeamcroft.Section{Name: strings.Join(strings.Fields(m[1]), " ")})
	}
	closeSection()
	for i := range sections {
		sections[i].Owner = ownerOf(sections[i].Text)
	}
	return sections, problems.err()
}

// Present returns the sections that are not marked as removed.
func Present(sections []hornbeamcroft.Section) []hornbeamcroft.Section {
	return slices.DeleteFunc(slices.Clone(sections), func(s hornbeamcroft.Section) bool { return s.Removed })
}

// Join returns the sections as INI text; Split of the result returns sections of the same names, owners and texts.
func Join(sections []hornbeamcroft.Section) []byte {
	var b bytes.Buffer
	for i, s := range Present(sections) {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString("[" + s.Name + "]\n")
		if s.Text != "" {
			b.WriteString(s.Text + "\n")
		}
	}
	return b.Bytes()
}

// ownerOf returns the owner key of a section's text; empty if there is none or the text is malformed.
func ownerOf(text string) string {
	f, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil || !f.Section("").HasKey("owner") {
		return ""
	}
	return f.Section("").Key("owner").Value()
}

func onlyComments(text string) bool {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line != "" && line[0] != ';' && line[0] != '#' {
			return false
		}
	}
	return true
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

var generationLine = regexp.MustCompile(`(?m)^; generation ([0-9]{1,19})$\n?`)

// JoinWithGenerations returns the sections as INI text with a comment that states the generation of each, so that a file
// that is edited and applied later is checked against edits made meanwhile.
func JoinWithGenerations(sections []hornbeamcroft.Section) []byte {
	marked := slices.Clone(sections)
	for i, s := range marked {
		marked[i].Text = fmt.Sprintf("; generation %d\n%s", s.Generation, s.Text)
	}
	return Join(marked)
}

// TakeGenerations moves the generations stated by JoinWithGenerations from the texts to the sections.
func TakeGenerations(sections []hornbeamcroft.Section) []hornbeamcroft.Section {
	taken := slices.Clone(sections)
	for i, s := range taken {
		if m := generationLine.FindStringSubmatch(s.Text); m != nil {
			taken[i].Generation, _ = strconv.ParseUint(m[1], 10, 64)
			taken[i].Text = strings.TrimSpace(generationLine.ReplaceAllString(s.Text, ""))
		}
	}
	return taken
}
