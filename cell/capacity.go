package cell

import (
	"fmt"

	"radishpath.example/radishpath/cell/cellpb"
)

// Capacity is an amount of an executor's resources: in total, which may change while it runs, free, or requested by a
// task.
type Capacity struct {
	CPUMillis    int64
	MemoryMB     int64
	Accelerators int64
}

// CapacityOf returns the capacity of an executor.
func CapacityOf(executor *cellpb.Executor) Capacity {
	return Capacity{
		CPUMillis:    executor.GetCpu(),
		MemoryMB:     executor.GetMemoryMb(),
		Accelerators: executor.GetAccelerators(),
	}
}

// Covers reports whether the capacity is at least another one in each resource.
func (c Capacity) Covers(other Capacity) bool {
	return c.CPUMillis >= other.CPUMillis && c.MemoryMB >= other.MemoryMB && c.Accelerators >= other.Accelerators
}

// IsExceeded reports whether more of a resource is in use than there is, which leaves less than 0 free.
func (c Capacity) IsExceeded() bool {
	return c.CPUMillis < 0 || c.MemoryMB < 0 || c.Accelerators < 0
}

// LacksAnyOf reports whether a resource of which more is in use than there is is among the requested ones.
func (c Capacity) LacksAnyOf(request Capacity) bool {
	return (c.CPUMillis < 0 && request.CPUMillis > 0) || (c.MemoryMB < 0 && request.MemoryMB > 0) ||
		(c.Accelerators < 0 && request.Accelerators > 0)
}

// Max returns the greater amount of each resource.
func (c Capacity) Max(other Capacity) Capacity {
	return Capacity{
		CPUMillis:    max(c.CPUMillis, other.CPUMillis),
		MemoryMB:     max(c.MemoryMB, other.MemoryMB),
		Accelerators: max(c.Accelerators, other.Accelerators),
	}
}

// Minus returns what remains of the capacity without another one.
func (c Capacity) Minus(other Capacity) Capacity {
	return Capacity{
		CPUMillis:    c.CPUMillis - other.CPUMillis,
		MemoryMB:     c.MemoryMB - other.MemoryMB,
		Accelerators: c.Accelerators - other.Accelerators,
	}
}

// Plus returns the sum of the capacity and another one.
func (c Capacity) Plus(other Capacity) Capacity {
	return Capacity{
		CPUMillis:    c.CPUMillis + other.CPUMillis,
		MemoryMB:     c.MemoryMB + other.MemoryMB,
		Accelerators: c.Accelerators + other.Accelerators,
	}
}

// String returns the capacity as written to the log.
func (c Capacity) String() string {
	return fmt.Sprintf("cpu=%d memory=%d accelerators=%d", c.CPUMillis, c.MemoryMB, c.Accelerators)
}
