package document

// state is a revision with its text.
type state struct {
	revision int64
	text     string
	parsed   Document
}
