package config

import (
	"errors"
	"time"
)

// VM identifies the VM that a process runs on.
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

// Process holds the settings that all long-running processes have in common.
type Process struct {
	LogLevel Text `yaml:"log_level"`
	// DrainWait limits how long a graceful shutdown waits for running requests.
	DrainWait Duration `yaml:"drain_wait"`
}

const (
	minDrainWait = Duration(time.Second)
	maxDrainWait = Duration(time.Hour)
)

func (p *Process) check() error {
	return errors.Join(
		checkLogLevel("process.log_level", p.LogLevel),
		checkRange("process.drain_wait", p.DrainWait, minDrainWait, maxDrainWait),
	)
}

func defaultProcess() Process {
	return Process{LogLevel: "info", DrainWait: Duration(30 * time.Second)}
}
