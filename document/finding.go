package document

import "radishpath.example/radishpath/inifile"

// Finding is one fault in a document, with its file, section, key and line.
type Finding = inifile.Finding

// Findings lists all faults of a document.
type Findings = inifile.Findings
