package ids

// VMID names one VM of the system. It is unique over all regions.
type VMID string

// Region names a region. Traffic between regions is slow and paid by volume.
type Region string

// Incarnation numbers the lives of one VM. It grows with each start, so that
// state of an earlier life is never mistaken for that of the present one.
type Incarnation uint64
