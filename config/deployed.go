package config

import (
	"errors"
	"net/netip"
	"strconv"
	"time"
)

// Deployed holds the settings of an entry or control process that a platform
// deploys on a VM. The platform assigns the addresses and limits, and the
// process finds the control VMs through a few seed addresses.
type Deployed struct {
	VM      VM      `yaml:"vm"`
	Process Process `yaml:"process"`
	// IP is the address at which other VMs reach this one.
	IP Text `yaml:"ip"`
	// InterVMPort is the port for connections between VMs, the same on all VMs.
	InterVMPort int `yaml:"inter_vm_port"`
	// InterVMListen is the address to listen on for other VMs. It is set if it
	// differs from IP and InterVMPort, for instance behind a port mapping.
	InterVMListen Text `yaml:"inter_vm_listen"`
	// Callers is the address to which the load balancer sends callers, Ready is
	// the one for its readiness checks, and Operators is the one for operators
	// and runners. An address is empty if the process does not serve it.
	Callers   Text `yaml:"callers"`
	Ready     Text `yaml:"ready"`
	Operators Text `yaml:"operators"`
	// Seeds lists the operator addresses of some control VMs.
	Seeds []Text `yaml:"seeds"`
	// FirstStart is true only for the first start of the whole system.
	FirstStart bool `yaml:"first_start"`
	// Regions maps data centres to their regions.
	Regions map[string]string `yaml:"regions"`
	// Data is the directory for state that has to survive a restart; only
	// control VMs use it.
	Data Text `yaml:"data"`
	// Memory is the memory limit of the process.
	Memory Bytes `yaml:"memory"`
	// ToleratedLosses is the number of simultaneous disk losses that the system
	// tolerates.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// DrainTime is how long a runner that is shutting down may still receive
	// requests.
	DrainTime Duration `yaml:"drain_time"`
	// RunnerList is the address of the platform's runner list.
	RunnerList Text `yaml:"runner_list"`
	// RunnerListLag is how much later than what is so that list may be.
	RunnerListLag Duration `yaml:"runner_list_lag"`
	Repeats       Repeats  `yaml:"repeats"`
	WarmUp        WarmUp   `yaml:"warm_up"`
	Clients       Clients  `yaml:"clients"`
}

// Repeats limits the repeated attempts of all entry VMs together.
type Repeats struct {
	// Ratio is the fraction of a service's requests within Window that may be
	// repeated. Slack is the number of repeats allowed in addition.
	Ratio  float64  `yaml:"ratio"`
	Window Duration `yaml:"window"`
	Slack  float64  `yaml:"slack"`
}

// DefaultDeployed returns the default settings of a deployed process.
func DefaultDeployed() *Deployed {
	return &Deployed{
		Process:         Process{LogLevel: "info", DrainWait: Duration(8 * time.Second)},
		Memory:          256 << 20,
		ToleratedLosses: 2,
		DrainTime:       Duration(4 * time.Second),
		RunnerListLag:   Duration(3 * time.Second),
		Clients:         defaultClients(),
		Repeats:         Repeats{Ratio: 0.1, Window: Duration(10 * time.Second), Slack: 10},
	}
}

const (
	minPort            = 1
	maxPort            = 1<<16 - 1
	minMemory          = Bytes(16 << 20)
	maxMemory          = Bytes(1 << 40)
	maxToleratedLosses = 10
	maxRunnerListLag   = Duration(time.Minute)
)

// Check reports values that are missing, invalid or contradictory.
func (d *Deployed) Check() error {
	errs := []error{
		d.VM.check(),
		d.Process.check(),
		d.checkIP(),
		checkRange("inter_vm_port", d.InterVMPort, minPort, maxPort),
		checkRange("memory", d.Memory, minMemory, maxMemory),
		d.WarmUp.check(),
		d.Clients.check(d.Memory),
		checkRange("runner_list_lag", d.RunnerListLag, 0, maxRunnerListLag),
		checkRange("tolerated_losses", d.ToleratedLosses, 0, maxToleratedLosses),
	}
	for name, address := range map[string]Text{"callers": d.Callers, "ready": d.Ready, "operators": d.Operators, "runner_list": d.RunnerList, "inter_vm_listen": d.InterVMListen} {
		if address != "" {
			errs = append(errs, checkListenAddr(name, address))
		}
	}
	for i, s := range d.Seeds {
		errs = append(errs, checkReachableAddr("seeds["+strconv.Itoa(i)+"]", s))
	}
	return errors.Join(errs...)
}

func (d *Deployed) checkIP() error {
	if _, err := netip.ParseAddr(string(d.IP)); err != nil {
		return newFieldError("ip", "%q is not an IP address; set the address of this VM", d.IP)
	}
	return nil
}

// InterVM returns the address at which other VMs reach this one.
func (d *Deployed) InterVM() string { return d.interVMAt(string(d.IP)) }

// ListenInterVM returns the address on which this VM listens for other VMs.
func (d *Deployed) ListenInterVM() string {
	if d.InterVMListen != "" {
		return string(d.InterVMListen)
	}
	return d.InterVM()
}

// InterVMSeeds returns the addresses for connections between VMs of the seeds.
func (d *Deployed) InterVMSeeds() []string {
	var list []string
	for _, s := range d.Seeds {
		if a, err := netip.ParseAddrPort(string(s)); err == nil {
			list = append(list, d.interVMAt(a.Addr().String()))
		}
	}
	return list
}

func (d *Deployed) interVMAt(ip string) string {
	return ip + ":" + strconv.Itoa(d.InterVMPort)
}
