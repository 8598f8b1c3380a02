package ids

// VMID names one VM of the system. It is unique over all regions.
type VMID string

// Region names a region. Traffic between regions is slow and paid by volume.
type Region string

// Incarnation numbers the starts of one VM. It grows with each start, so that
// state from before a restart is never taken for present state.
type Incarnation uint64
