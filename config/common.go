package config

import (
	"errors"
	"time"
)

// VM names the VM that a process runs on.
type VM struct {
	Name       Text `yaml:"name"`
	Region     Text `yaml:"region"`
	DataCentre Text `yaml:"data_centre"`
}

func (v *VM) check() error {
	return errors.Join(
		checkName("vm.name", v.Name),
		checkName("vm.region", v.Region),
		checkName("vm.data_centre", v.DataCentre),
	)
}

// Process holds what every long-running process has.
type Process struct {
	LogLevel Text `yaml:"log_level"`
	// DrainWait is how long a graceful shutdown waits for requests.
	DrainWait Duration `yaml:"drain_wait"`
}

const (
	minDrainWait = Duration(time.Second)
	maxDrainWait = Duration(time.Hour)
)

func (p *Process) check() error {
	return errors.Join(
		checkLevel("process.log_level", p.LogLevel),
		checkRange("process.drain_wait", p.DrainWait, minDrainWait, maxDrainWait),
	)
}

func defaultProcess() Process {
	return Process{LogLevel: "info", DrainWait: Duration(30 * time.Second)}
}
