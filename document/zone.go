package document

// Drain says what becomes of running work when a zone goes out of service.
type Drain string

// The kinds of drain.
const (
	// DrainCheckpoint checkpoints running work and moves it to other zones.
	DrainCheckpoint Drain = "checkpoint"
	// DrainFinish lets running work end where it is.
	DrainFinish Drain = "finish"
)

// Zone is an availability zone that the document uses.
type Zone struct {
	Name string
	// In says that the zone is in service.
	In    bool
	Drain Drain
	// Line is where the zone's section starts.
	Line int
}
