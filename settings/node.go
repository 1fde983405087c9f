package settings

// Node is the id and peer protocol address of a process.
type Node struct {
	ID      string
	Address string
}
