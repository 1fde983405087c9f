package settings

// Operator is a person with access to the administration API.
type Operator struct {
	Name string
	// Hash is sha256:<64 lower-case hex digits> of the operator's token.
	Hash string
}
