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

// headerPattern matches the header line of a section, for example "[service cash] ; comment".
var headerPattern = regexp.MustCompile(`^\s*\[([^\]]*)\]\s*(?:[;#].*)?$`)

// iniOptions disables all multi-line and nested forms of INI, so that every line that headerPattern matches is a
// header. Duplicate keys are kept, so that they can be reported.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// Split splits INI text into sections with name, owner and text, in the order of the text. Generation and writer stay
// empty. A comment belongs to the section above it; only comments are allowed before the first section.
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
			problems = append(problems, Problem{"document", "", firstLine(joined), "keys are allowed only inside a section"})
		}
	}
	text = bytes.TrimPrefix(text, []byte("\uFEFF"))
	for line := range strings.Lines(string(text)) {
		line = strings.TrimRight(line, "\r\n")
		m := headerPattern.FindStringSubmatch(line)
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
	return sections, problems.sortedOrNil()
}

// WithoutRemoved returns the sections without those that were removed, which stay in a document as tombstones.
func WithoutRemoved(sections []hornbeamcroft.Section) []hornbeamcroft.Section {
	return slices.DeleteFunc(slices.Clone(sections), func(s hornbeamcroft.Section) bool { return s.Removed })
}

// Join returns the sections that are not removed as INI text. Split of the result returns sections of the same names,
// owners and texts.
func Join(sections []hornbeamcroft.Section) []byte {
	var b bytes.Buffer
	for i, s := range WithoutRemoved(sections) {
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

// ownerOf returns the owner key of a section's text. It is empty if the key is absent or the text is malformed.
func ownerOf(text string) string {
	f, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil || !f.Section("").HasKey("owner") {
		return ""
	}
	return f.Section("").Key("owner").Value()
}

// onlyComments reports whether every line of the text is empty or a comment.
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

// generationPattern matches the comment line that JoinWithGenerations writes.
var generationPattern = regexp.MustCompile(`(?m)^; generation ([0-9]{1,19})$\n?`)

// JoinWithGenerations returns the sections as INI text with a comment in each section that states its generation. If
// the text is edited and applied later, an edit that others made in the meantime is detected by the generation.
func JoinWithGenerations(sections []hornbeamcroft.Section) []byte {
	annotated := slices.Clone(sections)
	for i, s := range annotated {
		annotated[i].Text = fmt.Sprintf("; generation %d\n%s", s.Generation, s.Text)
	}
	return Join(annotated)
}

// ExtractGenerations returns the sections with the generations that JoinWithGenerations wrote into the texts: it sets
// the Generation of each section from the comment and removes the comment.
func ExtractGenerations(sections []hornbeamcroft.Section) []hornbeamcroft.Section {
	result := slices.Clone(sections)
	for i, s := range result {
		if m := generationPattern.FindStringSubmatch(s.Text); m != nil {
			result[i].Generation, _ = strconv.ParseUint(m[1], 10, 64)
			result[i].Text = strings.TrimSpace(generationPattern.ReplaceAllString(s.Text, ""))
		}
	}
	return result
}
