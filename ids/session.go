package ids

import "fmt"

// SessionID names one incarnation of one entry VM.
type SessionID struct {
	VM          VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String gives "vm.incarnation".
func (s SessionID) String() string {
	return fmt.Sprintf("%s.%d", s.VM, s.Incarnation)
}
