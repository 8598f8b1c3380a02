package config

import (
	"errors"
	"net/netip"
	"strconv"
	"time"
)

// Deployed holds the settings of a process that a platform places on a VM and
// tells its addresses and limits: an entry VM or a control VM whose control VMs
// find each other from a few seeds.
type Deployed struct {
	VM      VM      `yaml:"vm"`
	Process Process `yaml:"process"`
	// IP is the VM's own address.
	IP Text `yaml:"ip"`
	// InterVMPort is where other VMs call, the same on all VMs.
	InterVMPort int `yaml:"inter_vm_port"`
	// InterVMListen is where this VM listens for other VMs if that is another
	// address than the one where they call, as behind a port mapping.
	InterVMListen Text `yaml:"inter_vm_listen"`
	// Callers is where the balancer sends callers, Ready where it asks for
	// readiness, Operators where operators and runners call; empty where the
	// process does not serve it.
	Callers   Text `yaml:"callers"`
	Ready     Text `yaml:"ready"`
	Operators Text `yaml:"operators"`
	// Seeds are the operators' addresses of some control VMs.
	Seeds []Text `yaml:"seeds"`
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// Regions gives the region of each data centre.
	Regions map[string]string `yaml:"regions"`
	// Data is the folder of what has to survive a restart; control VMs only.
	Data Text `yaml:"data"`
	// Memory is what the process may use.
	Memory Bytes `yaml:"memory"`
	// ToleratedLosses is how many disks may be lost at once.
	ToleratedLosses int `yaml:"tolerated_losses"`
	// DrainTime is how long a leaving runner may still get requests.
	DrainTime Duration `yaml:"drain_time"`
	// RunnerList is the address of the platform's list of runners.
	RunnerList Text    `yaml:"runner_list"`
	Repeats    Repeats `yaml:"repeats"`
}

// Repeats bounds the repeated attempts of all entry VMs together.
type Repeats struct {
	// Ratio is the part of a service's requests that may be repeated within
	// Window, Slack the number of repeats beyond it.
	Ratio  float64  `yaml:"ratio"`
	Window Duration `yaml:"window"`
	Slack  float64  `yaml:"slack"`
}

// DefaultDeployed gives the defaults.
func DefaultDeployed() *Deployed {
	return &Deployed{
		Process:         Process{LogLevel: "info", DrainWait: Duration(8 * time.Second)},
		Memory:          256 << 20,
		ToleratedLosses: 2,
		DrainTime:       Duration(4 * time.Second),
		Repeats:         Repeats{Ratio: 0.1, Window: Duration(10 * time.Second), Slack: 10},
	}
}

const (
	minPort   = 1
	maxPort   = 1<<16 - 1
	minMemory = Bytes(16 << 20)
	maxMemory = Bytes(1 << 40)
	maxLosses = 10
)

// Check rejects values that cannot work.
func (d *Deployed) Check() error {
	errs := []error{
		d.VM.check(),
		d.Process.check(),
		d.checkIP(),
		checkRange("inter_vm_port", d.InterVMPort, minPort, maxPort),
		checkRange("memory", d.Memory, minMemory, maxMemory),
		checkRange("tolerated_losses", d.ToleratedLosses, 0, maxLosses),
	}
	for name, address := range map[string]Text{"callers": d.Callers, "ready": d.Ready, "operators": d.Operators, "runner_list": d.RunnerList, "inter_vm_listen": d.InterVMListen} {
		if address != "" {
			errs = append(errs, checkListen(name, address))
		}
	}
	for i, s := range d.Seeds {
		errs = append(errs, checkAddr("seeds["+strconv.Itoa(i)+"]", s))
	}
	return errors.Join(errs...)
}

func (d *Deployed) checkIP() error {
	if _, err := netip.ParseAddr(string(d.IP)); err != nil {
		return field("ip", "%q is no IP address; set the VM's own", d.IP)
	}
	return nil
}

// InterVM is the address at which other VMs call this one.
func (d *Deployed) InterVM() string { return d.interVMAt(string(d.IP)) }

// ListenInterVM is the address at which this VM listens for others.
func (d *Deployed) ListenInterVM() string {
	if d.InterVMListen != "" {
		return string(d.InterVMListen)
	}
	return d.InterVM()
}

// InterVMSeeds gives the addresses at which VMs call the seeds.
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
