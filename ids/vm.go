package ids

// VMID identifies a VM. It is unique across all regions.
type VMID string

// Region is the name of a region. Traffic between regions is slow and billed by
// volume.
type Region string

// Incarnation counts the starts of a VM. It increases with each start, so that
// state from before a restart is never mistaken for current state.
type Incarnation uint64
