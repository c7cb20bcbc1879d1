package assembler

import (
	"pomelotiller/internal/observe/meter"
)

// materialFailed counts key material that cannot be read; the last that could
// stays in force.
func (d *Daemon) materialFailed(error) { meter.Count(d.registry, 1, "key_material_failures_total") }
