package document

// Workspace is a tenant with guaranteed capacity and its own caller tokens.
type Workspace struct {
	Name string
	// Guarantee is the number of accelerators reserved for the priority 0 work of the workspace. Other work may use them
	// while they are idle.
	Guarantee int
	// Tokens contains the hashes of the caller tokens.
	Tokens []string
	// Line is the line of the section header.
	Line int
}
