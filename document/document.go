package document

import (
	"strings"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/inifile"
)

// Defaults and limits of the keys of a document.
const (
	defaultPriority    = 1
	maxPriority        = 9
	defaultMaxFailures = 2
	maxFailuresLimit   = 100
	defaultStretch     = 3
	defaultSlack       = time.Second
	// maxGuaranteedAccelerators limits the guarantee of one workspace, to detect values in a wrong unit.
	maxGuaranteedAccelerators = 1_000_000
)

// Document is a parsed document. The zero value is revision 0, which defines no workspace and so serves no caller.
type Document struct {
	// Service is the default executor service for queues that set none.
	Service string
	// Queues, Zones and Workspaces are in the order in which the text defines them.
	Queues     []Queue
	Zones      []Zone
	Workspaces []Workspace
	fileName   string
}

// Parse parses a document. Findings report fileName as the file. The error is of type Findings and contains every
// fault; the document is then incomplete and must not be used.
func Parse(fileName string, text []byte) (Document, error) {
	file := inifile.Parse(fileName, text)
	file.CheckSections([]string{"service"}, "queue", "zone", "workspace")
	parsed := Document{
		fileName: fileName,
	}
	for _, section := range file.Sections {
		parsed.addSection(file, section)
	}
	parsed.checkTokens(file)
	parsed.checkQueues(file)
	return parsed, file.Err()
}

// Operations converts the document to operations with the given revision as their version.
func (d Document) Operations(revision int64) cell.Operations {
	operations := cell.Operations{
		Loaded: true,
		Config: cell.Config{
			Version:  revision,
			Services: map[string]cell.Service{},
		},
	}
	for _, queue := range d.Queues {
		cellQueue := queue.cell(d.Service)
		operations.Config.Queues = append(operations.Config.Queues, cellQueue)
		operations.Config.Services[cellQueue.Service] = cell.Service{
			Name:            cellQueue.Service,
			ChecksAdmission: true,
		}
	}
	for _, workspace := range d.Workspaces {
		operations.Config.Workspaces = append(operations.Config.Workspaces, cell.Workspace{
			Name:       workspace.Name,
			APIKeys:    workspace.Tokens,
			Guaranteed: int64(workspace.Guarantee),
		})
	}
	for _, zone := range d.Zones {
		operations = operations.WithZone(zone.Name, !zone.InService)
	}
	return operations
}

// Warnings reports queues, workspaces and tokens that a valid document is likely to be missing.
func (d Document) Warnings() Findings {
	var warnings Findings
	warn := func(section string, line int, problem string) {
		warnings = append(warnings, Finding{
			File:    d.fileName,
			Section: section,
			Line:    line,
			Problem: problem,
		})
	}
	if len(d.Queues) == 0 {
		warn("", 0, `no queue, so no job is accepted; add [queue "name"]`)
	}
	if len(d.Workspaces) == 0 {
		warn("", 0, `no workspace, so no caller is served; add [workspace "name"]`)
	}
	for _, workspace := range d.Workspaces {
		if len(workspace.Tokens) == 0 {
			warn(workspaceSectionTitle(workspace.Name), workspace.Line,
				"no token, so no caller is served; add token = sha256:<hex>")
		}
	}
	return warnings
}

// Workspace returns the workspace with the given name.
func (d Document) Workspace(name string) (Workspace, bool) {
	for _, workspace := range d.Workspaces {
		if workspace.Name == name {
			return workspace, true
		}
	}
	return Workspace{}, false
}

// Zone returns the zone with the given name. Zones that the document does not define are in service.
func (d Document) Zone(name string) (Zone, bool) {
	for _, zone := range d.Zones {
		if zone.Name == name {
			return zone, true
		}
	}
	return Zone{}, false
}

// checkQueues reports queues with the same host and path prefix, because requests could not be routed unambiguously.
func (d *Document) checkQueues(file *inifile.File) {
	queueByRoute := map[string]string{}
	for _, queue := range d.Queues {
		route := queue.Host + queue.Prefix
		if owner, exists := queueByRoute[route]; exists {
			file.AddFinding(inifile.Section{
				Kind: "queue",
				Name: queue.Name,
				Line: queue.Line,
			}, inifile.Key{
				Name: "prefix",
			}, "queue %q has the same host and prefix", owner)
		}
		queueByRoute[route] = queue.Name
	}
}

// checkTokens reports tokens shared by several workspaces, because a token must identify the workspace of a caller.
func (d *Document) checkTokens(file *inifile.File) {
	workspaceByToken := map[string]string{}
	for _, workspace := range d.Workspaces {
		for _, token := range workspace.Tokens {
			owner, exists := workspaceByToken[token]
			if exists && owner != workspace.Name {
				file.AddFinding(inifile.Section{
					Kind: "workspace",
					Name: workspace.Name,
					Line: workspace.Line,
				}, inifile.Key{
					Name: "token",
				}, "workspace %q has the same token", owner)
			}
			workspaceByToken[token] = workspace.Name
		}
	}
}

func (d *Document) addSection(file *inifile.File, section inifile.Section) {
	reader := file.Reader(section)
	switch section.Kind {
	case "service":
		d.Service = reader.String("name", "")
	case "queue":
		d.Queues = append(d.Queues, readQueue(reader, section))
	case "zone":
		d.Zones = append(d.Zones, readZone(reader, section))
	case "workspace":
		d.Workspaces = append(d.Workspaces, readWorkspace(reader, section))
	default:
		return
	}
	reader.CheckUnknownKeys()
}

func readTokens(reader *inifile.Reader) []string {
	var tokens []string
	for _, part := range reader.List("token") {
		hash := strings.ToLower(part)
		if err := ValidateTokenHash(hash); err != nil {
			reader.ReportInvalid("token", "%v", err)
			continue
		}
		tokens = append(tokens, hash)
	}
	return tokens
}

func readWorkspace(reader *inifile.Reader, section inifile.Section) Workspace {
	return Workspace{
		Name:      section.Name,
		Guarantee: reader.Int("guarantee", 0, 0, maxGuaranteedAccelerators),
		Tokens:    readTokens(reader),
		Line:      section.Line,
	}
}

func readZone(reader *inifile.Reader, section inifile.Section) Zone {
	return Zone{
		Name:      section.Name,
		InService: reader.Choice("state", "in", "in", "out") == "in",
		Line:      section.Line,
	}
}

func workspaceSectionTitle(name string) string {
	return `workspace "` + name + `"`
}
