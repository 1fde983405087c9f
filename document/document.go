package document

import (
	"encoding/hex"
	"maps"
	"strings"
	"time"

	"radishpath.example/radishpath/inifile"
)

// The defaults make a document of one zone and one workspace work.
const (
	defaultShare   = 1
	defaultQueue   = 1000
	defaultRate    = 200
	defaultReclaim = 10 * time.Second
)

const (
	maxShare = 1_000_000
	maxQueue = 1_000_000
	maxRate  = 100_000
	// maxGuaranteed bounds the guaranteed shapes of a workspace, because the plan keeps a place for each of them.
	maxGuaranteed = 256
	// minReclaim leaves a task the time of one lease to write a checkpoint.
	minReclaim = 2 * time.Second
)

const hashBytes = 32

// Document is a parsed document. The zero value is the document of revision 0, which uses no zone and has no
// workspace.
type Document struct {
	// Service is the name of the service, which only serves people.
	Service string
	// Zones and Workspaces are in the order of the text.
	Zones      []Zone
	Workspaces []Workspace
	name       string
}

// Parse reads a document. The name stands for the file in findings. The error is of type Findings and holds every
// fault; the document is then incomplete and must not be used.
func Parse(name string, text []byte) (Document, error) {
	file := inifile.Parse(name, text)
	file.Known([]string{"service"}, "zone", "workspace")
	parsed := Document{
		name: name,
	}
	for _, section := range file.Sections {
		parsed.read(file, section)
	}
	parsed.checkTokens(file)
	return parsed, file.Err()
}

// SameGuarantees reports whether two documents have the same guarantees and the same zones in service, whatever their
// order.
func (d Document) SameGuarantees(other Document) bool {
	return maps.Equal(d.demand(), other.demand())
}

// Warnings returns what a valid document most likely lacks: zones in service, workspaces, and tokens.
func (d Document) Warnings() Findings {
	var warnings Findings
	warn := func(section string, line int, problem string) {
		warnings = append(warnings, Finding{
			File:    d.name,
			Section: section,
			Line:    line,
			Problem: problem,
		})
	}
	in := 0
	for _, zone := range d.Zones {
		if zone.In {
			in++
		}
	}
	if in == 0 {
		warn("", 0, `no zone is in service, so nothing runs; add [zone "name"] for every zone in use`)
	}
	if len(d.Workspaces) == 0 {
		warn("", 0, `there is no workspace, so no caller is served; add [workspace "name"]`)
	}
	for _, workspace := range d.Workspaces {
		if len(workspace.Tokens) == 0 {
			warn(workspaceTitle(workspace.Name), workspace.Line, "no token, so no caller is served; add token = sha256:<hex>")
		}
	}
	return warnings
}

// Workspace returns a workspace by name.
func (d Document) Workspace(name string) (Workspace, bool) {
	for _, workspace := range d.Workspaces {
		if workspace.Name == name {
			return workspace, true
		}
	}
	return Workspace{}, false
}

// WorkspaceOf returns the workspace that a caller's token belongs to.
func (d Document) WorkspaceOf(token string) (Workspace, bool) {
	var owner Workspace
	found := false
	for _, workspace := range d.Workspaces {
		if workspace.Accepts(token) {
			owner, found = workspace, true
		}
	}
	return owner, found
}

// Zone returns a zone by name. A zone that the document does not name is not in use: nothing runs there.
func (d Document) Zone(name string) (Zone, bool) {
	for _, zone := range d.Zones {
		if zone.Name == name {
			return zone, true
		}
	}
	return Zone{}, false
}

// checkTokens reports a token that two workspaces share, because it would not say whose the caller is.
func (d *Document) checkTokens(file *inifile.File) {
	owners := map[string]string{}
	for _, workspace := range d.Workspaces {
		for _, token := range workspace.Tokens {
			owner, taken := owners[token]
			if taken && owner != workspace.Name {
				file.Add(inifile.Section{
					Kind: "workspace",
					Name: workspace.Name,
					Line: workspace.Line,
				}, inifile.Key{
					Name: "token",
				}, "workspace %q has the same token", owner)
			}
			owners[token] = workspace.Name
		}
	}
}

// demand counts the guarantees by workspace and shape, and names the zones in service.
func (d Document) demand() map[string]int {
	demand := map[string]int{}
	for _, zone := range d.Zones {
		if zone.In {
			demand["zone "+zone.Name]++
		}
	}
	for _, workspace := range d.Workspaces {
		for _, shape := range workspace.Guarantees {
			demand["guarantee "+shape.String()+" "+workspace.Name]++
		}
	}
	return demand
}

func (d *Document) read(file *inifile.File, section inifile.Section) {
	reader := file.Reader(section)
	switch section.Kind {
	case "service":
		d.Service = reader.String("name", "")
	case "zone":
		d.Zones = append(d.Zones, readZone(reader, section))
	case "workspace":
		d.Workspaces = append(d.Workspaces, readWorkspace(reader, section))
	default:
		return
	}
	reader.Finish()
}

func readGuarantees(reader *inifile.Reader) []Shape {
	var shapes []Shape
	for _, part := range reader.List("guarantee") {
		shape, err := ParseShape(part)
		if err != nil {
			reader.Bad("guarantee", "%v", err)
			continue
		}
		shapes = append(shapes, shape)
	}
	if len(shapes) > maxGuaranteed {
		reader.Bad("guarantee", "%d shapes are more than the limit of %d", len(shapes), maxGuaranteed)
	}
	return shapes
}

func readTokens(reader *inifile.Reader) []string {
	var tokens []string
	for _, part := range reader.List("token") {
		hash := strings.ToLower(part)
		if err := CheckHash(hash); err != nil {
			reader.Bad("token", "%v", err)
			continue
		}
		tokens = append(tokens, hash)
	}
	return tokens
}

func readWorkspace(reader *inifile.Reader, section inifile.Section) Workspace {
	return Workspace{
		Name:          section.Name,
		Share:         reader.Int("share", defaultShare, 1, maxShare),
		Guarantees:    readGuarantees(reader),
		Queue:         reader.Int("queue", defaultQueue, 1, maxQueue),
		Rate:          reader.Int("rate", defaultRate, 1, maxRate),
		Reclaim:       reader.Duration("reclaim", defaultReclaim, minReclaim),
		Tokens:        readTokens(reader),
		Line:          section.Line,
		GuaranteeLine: reader.Line("guarantee"),
	}
}

func readZone(reader *inifile.Reader, section inifile.Section) Zone {
	return Zone{
		Name:  section.Name,
		In:    reader.Choice("state", "in", "in", "out") == "in",
		Drain: Drain(reader.Choice("drain", string(DrainCheckpoint), string(DrainCheckpoint), string(DrainFinish))),
		Line:  section.Line,
	}
}

func workspaceTitle(name string) string {
	return `workspace "` + name + `"`
}

// hexDigits reports whether text is the hex form of a hash.
func hexDigits(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == hashBytes
}
