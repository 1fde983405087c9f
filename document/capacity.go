package document

// Capacity is what a worker has announced.
type Capacity struct {
	Worker string
	Zone   string
	// Rack is unique within its zone.
	Rack         string
	Accelerators int
}
