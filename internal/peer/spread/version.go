package spread

import (
	"cmp"
	"fmt"
)

// StoreVersion identifies a state of the platform's store. The store may come back from an older
// copy: its revisions then go back and are given out again, in a new era. Versions are therefore
// ordered by era first:
//
//	era 1: 1 2 3 ... 500 | restored from the copy of revision 400
//	era 2:                 400 401 402 ...
//
// Era is 0 in versions from VMs and stores that know no eras.
type StoreVersion struct {
	Era uint64
	Rev uint64
}

// After reports whether v is newer than other.
func (v StoreVersion) After(other StoreVersion) bool {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Rev, other.Rev)) > 0
}

// IsZero reports whether no version is known.
func (v StoreVersion) IsZero() bool {
	return v == StoreVersion{}
}

// String returns "era/revision".
func (v StoreVersion) String() string {
	return fmt.Sprintf("%d/%d", v.Era, v.Rev)
}
