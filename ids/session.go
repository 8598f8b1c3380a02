package ids

import "fmt"

// SessionID identifies a session, which is one incarnation of an entry VM.
type SessionID struct {
	VM          VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String returns the id as "vm.incarnation".
func (s SessionID) String() string {
	return fmt.Sprintf("%s.%d", s.VM, s.Incarnation)
}
